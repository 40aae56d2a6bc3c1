#include "soak/store.h"

#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <nlohmann/json.hpp>

namespace mulberryhoist::soak {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds SlowAnswer{200};

std::string encodeBase64(const std::string &Bytes) {
  namespace base64 = beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

} // namespace

Store::Store(Endpoint Listen)
    : Acceptor(this->Context,
               {boost::asio::ip::address_v4(Listen.Address), Listen.Port}),
      Acceptance([this] { this->accept(); }) {}

Store::~Store() {
  this->Stopping = true;
  this->Changed.notify_all();
  // Wakes the thread that accepts.
  tcp::socket Wake(this->Context);
  beast::error_code Ignored;
  Wake.connect(this->Acceptor.local_endpoint(), Ignored);
  this->Acceptance.join();
  this->setMode(StoreMode::Resetting);
  this->Connections.clear();
}

void Store::put(const std::string &Key, std::string Value) {
  const std::scoped_lock Guard(this->Lock);
  const auto Known = this->Held.Items.find(Key);
  const std::uint64_t Now = ++this->Held.Revision;
  const Change Next = {
      Key, std::move(Value), Now,
      Known == this->Held.Items.end() ? Now : Known->second.Created, false};
  this->Held.Items[Key] = Next;
  this->Held.History.push_back(Next);
  this->Changed.notify_all();
}

void Store::remove(const std::string &Key) {
  const std::scoped_lock Guard(this->Lock);
  if (this->Held.Items.erase(Key) != 0) {
    this->Held.History.push_back({Key, {}, ++this->Held.Revision, 0, true});
    this->Changed.notify_all();
  }
}

void Store::setMode(StoreMode Next) {
  this->Mode = Next;
  const std::scoped_lock Guard(this->Lock);
  if (Next == StoreMode::Resetting) {
    for (tcp::socket &Each : this->Sockets) {
      beast::error_code Ignored;
      Each.shutdown(tcp::socket::shutdown_both, Ignored);
    }
  }
  this->Changed.notify_all();
}

void Store::dropHistory() {
  const std::scoped_lock Guard(this->Lock);
  this->Held.History.clear();
  this->Held.Forgotten = this->Held.Revision;
  this->Changed.notify_all();
}

Store::Copy Store::copy() {
  const std::scoped_lock Guard(this->Lock);
  return this->Held;
}

void Store::returnFrom(const Copy &Old) {
  const std::scoped_lock Guard(this->Lock);
  this->Held = Old;
  ++this->Era;
  this->Changed.notify_all();
}

void Store::accept() {
  while (!this->Stopping) {
    beast::error_code Code;
    tcp::socket Socket(this->Context);
    this->Acceptor.accept(Socket, Code);
    if (Code || this->Stopping) {
      continue;
    }
    const std::scoped_lock Guard(this->Lock);
    tcp::socket &Kept = this->Sockets.emplace_back(std::move(Socket));
    this->Connections.emplace_back([this, &Kept] { this->serve(Kept); });
  }
}

void Store::serve(tcp::socket &Socket) {
  beast::flat_buffer Buffer;
  beast::error_code Code;
  while (!this->Stopping && this->Mode != StoreMode::Resetting) {
    http::request<http::empty_body> Request;
    http::read(Socket, Buffer, Request, Code);
    if (Code) {
      break;
    }
    Answer Given = this->answer(std::string(Request.target()));
    if (this->Mode == StoreMode::Silent) {
      // Nothing follows on this connection.
      std::unique_lock Guard(this->Lock);
      this->Changed.wait(Guard, [this] {
        return this->Stopping || this->Mode == StoreMode::Resetting;
      });
      break;
    }
    http::response<http::string_body> Response(
        http::int_to_status(Given.Status), Request.version());
    Response.keep_alive(true);
    if (this->Mode == StoreMode::OddEra) {
      Response.set("Store-Era", "first");
    } else if (this->Mode != StoreMode::NoEra) {
      Response.set("Store-Era", std::to_string(this->Era));
    }
    Response.body() = std::move(Given.Body);
    Response.prepare_payload();
    http::write(Socket, Response, Code);
    if (this->Mode == StoreMode::Repeating) {
      http::write(Socket, Response, Code);
    }
  }
  const std::scoped_lock Guard(this->Lock);
  Socket.close(Code);
}

std::string Store::encodeValue(const std::string &Bytes) const {
  std::string Text = encodeBase64(Bytes);
  if (this->Mode == StoreMode::Unpadded) {
    Text.resize(Text.find_last_not_of('=') + 1);
  }
  return Text;
}

Store::Answer Store::answer(const std::string &Target) {
  switch (this->Mode.load()) {
  case StoreMode::Busy:
    return {503, ""};
  case StoreMode::Refusing:
    return {429, ""};
  case StoreMode::Slow:
    std::this_thread::sleep_for(SlowAnswer);
    break;
  default:
    break;
  }
  const auto Parsed = boost::urls::parse_origin_form(Target);
  std::map<std::string, std::string> Query;
  for (const auto &Each : Parsed->params()) {
    Query[std::string(Each.key)] = std::string(Each.value);
  }
  if (Parsed->path() == "/kv-range") {
    return this->list(Query["prefix"], Query["after"]);
  }
  return this->watch(Query["prefix"], std::stoull(Query["after"]),
                     std::chrono::milliseconds(std::stoll(Query["wait_ms"])));
}

Store::Answer Store::list(const std::string &Prefix, const std::string &After) {
  const std::scoped_lock Guard(this->Lock);
  Json List = Json::array();
  bool Truncated = false;
  for (const auto &[Key, Each] : this->Held.Items) {
    if (Key.starts_with(Prefix) && Key > After) {
      Truncated = List.size() == this->PageSize;
      if (Truncated) {
        break;
      }
      List.push_back({{"key", Key},
                      {"value", this->encodeValue(Each.Value)},
                      {"revision", Each.Revision},
                      {"create_rev", Each.Created},
                      {"lease", 0}});
    }
  }
  return {200, Json{{"items", std::move(List)},
                    {"truncated", Truncated},
                    {"as_of", this->Held.Revision}}
                   .dump()};
}

Store::Answer Store::watch(const std::string &Prefix, std::uint64_t After,
                           std::chrono::milliseconds Wait) {
  std::unique_lock Guard(this->Lock);
  if (After > this->Held.Revision) {
    return {410, ""};
  }
  const StoreMode Before = this->Mode;
  const auto IsOver = [&] {
    return this->Stopping || this->Mode != Before ||
           this->Held.Revision > After;
  };
  this->Changed.wait_for(Guard, Wait, IsOver);
  if (After < this->Held.Forgotten) {
    return {410, ""};
  }
  Json Events = Json::array();
  for (const Change &Each : this->Held.History) {
    if (Each.Revision <= After || !Each.Key.starts_with(Prefix)) {
      continue;
    }
    Json Event = {{"key", Each.Key}, {"revision", Each.Revision}};
    if (Each.Removed) {
      Event["deleted"] = true;
    } else {
      Event["value"] = this->encodeValue(Each.Value);
      Event["create_rev"] = Each.Created;
    }
    Events.push_back(std::move(Event));
  }
  return {200,
          Json{{"events", std::move(Events)}, {"as_of", this->Held.Revision}}
              .dump()};
}

} // namespace mulberryhoist::soak
