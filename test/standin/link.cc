#include "standin/link.h"

namespace mulberryhoist::standin {

Result<std::unique_ptr<Link>> Link::create(io_context &Io, Endpoint Listen,
                                           Endpoint Target,
                                           const FarSide &Far) {
  std::unique_ptr<Link> Value(new Link(Io, Target, Far));
  auto Front = UdpPort::create(
      Io, Listen, [Self = Value.get()](Endpoint From, PacketBytes Bytes) {
        Self->relay(From, Bytes);
      });
  if (!Front) {
    return tl::unexpected(Front.error());
  }
  Value->Front = std::move(*Front);
  return Value;
}

bool Link::isCut(Endpoint Sender) const {
  return this->Far.contains(Sender) != this->Far.contains(this->Target);
}

void Link::relay(Endpoint From, PacketBytes Bytes) {
  if (this->isCut(From)) {
    ++this->Dropped;
    return;
  }
  auto Found = this->Senders.find(From);
  if (Found == this->Senders.end()) {
    auto Socket =
        UdpPort::create(this->Io, {this->Target.Address, 0},
                        [this, From](Endpoint /*Target*/, PacketBytes Answer) {
                          if (this->isCut(From)) {
                            ++this->Dropped;
                          } else {
                            this->Front->send(From, Answer);
                          }
                        });
    if (!Socket) {
      ++this->Dropped;
      return;
    }
    Found = this->Senders.emplace(From, std::move(*Socket)).first;
  }
  Found->second->send(this->Target, Bytes);
}

} // namespace mulberryhoist::standin
