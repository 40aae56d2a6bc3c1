// Stand-ins for the review's scripts: the platform's store, its routers, its
// targets and clients, and the start of the project's own programs. All
// addresses are loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cmath>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;

// Milliseconds of the monotonic clock; the same in all processes of a run.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(
             Clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(double Ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

inline void sleepUntilMs(double At) { sleepMs(std::max(0.0, At - nowMs())); }

// Ports are the same on all machines, as on the platform.
constexpr std::uint16_t PacketPort = 8172, ReadyPort = 8167, ControlPort = 8166,
                        PeerPort = 7720, AppPort = 8165, OutboundPort = 8162,
                        StorePort = 8169;

inline std::string ipText(std::uint32_t Ip) {
  char Text[INET_ADDRSTRLEN];
  in_addr Address{htonl(Ip)};
  inet_ntop(AF_INET, &Address, Text, sizeof Text);
  return Text;
}

inline std::uint32_t ipOf(const std::string &Text) {
  in_addr Address{};
  inet_pton(AF_INET, Text.c_str(), &Address);
  return ntohl(Address.s_addr);
}

inline sockaddr_in socketAddress(std::uint32_t Ip, std::uint16_t Port) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_addr.s_addr = htonl(Ip);
  To.sin_port = htons(Port);
  return To;
}

// Processes that run, and the folder of the run; both go when the run ends
// early.
inline std::set<pid_t> &runningChildren() {
  static std::set<pid_t> Ids;
  return Ids;
}
inline std::string &runFolder() {
  static std::string Path;
  return Path;
}
inline std::mutex &childrenLock() {
  static std::mutex Lock;
  return Lock;
}

inline void endEverything() {
  const std::scoped_lock Guard(childrenLock());
  for (const pid_t Id : runningChildren()) {
    ::kill(Id, SIGCONT);
    ::kill(Id, SIGKILL);
    ::waitpid(Id, nullptr, 0);
  }
  runningChildren().clear();
  std::error_code Ignored;
  if (!runFolder().empty()) {
    std::filesystem::remove_all(runFolder(), Ignored);
  }
}

[[noreturn]] inline void cannotRun(const std::string &Why) {
  std::fprintf(stderr, "cannot run: %s\n", Why.c_str());
  endEverything();
  std::_Exit(2);
}

// ---------------------------------------------------------------- packets

constexpr std::uint8_t Fin = 2, Rst = 4, Syn = 16, Ack = 32, Bounced = 64;
constexpr std::size_t HeadBytes = 32, MaxData = 1200;

// The fields of a packet, in the layout of PROTOCOL.md.
struct Packet {
  std::uint32_t Seq = 0, AckNo = 0, Sum = 0, Dst = 0, Src = 0, Echo = 0;
  std::uint8_t Flags = 0, Pad = 0;
  std::uint16_t Dport = 0, Sport = 0;
  std::string Data;
};

// Stands in for the keyed sum that only clients and targets know.
inline std::uint32_t sumOf(const Packet &P) {
  std::uint32_t Hash = 2166136261U ^ 0x5eedU;
  const auto Mix = [&Hash](std::uint32_t Value) {
    for (int I = 0; I < 4; ++I) {
      Hash = (Hash ^ (Value >> (8 * I) & 0xffU)) * 16777619U;
    }
  };
  Mix(P.Seq);
  Mix(P.AckNo);
  Mix(P.Flags & ~Bounced);
  Mix(P.Dst);
  Mix(P.Src);
  Mix(P.Dport << 16U | P.Sport);
  for (const char Each : P.Data) {
    Hash = (Hash ^ static_cast<std::uint8_t>(Each)) * 16777619U;
  }
  return Hash;
}

inline void put32(std::string &To, std::size_t At, std::uint32_t Value) {
  for (int I = 0; I < 4; ++I) {
    To[At + I] = static_cast<char>(Value >> (24 - 8 * I));
  }
}
inline std::uint32_t get32(const char *From) {
  std::uint32_t Value = 0;
  for (int I = 0; I < 4; ++I) {
    Value = Value << 8U | static_cast<std::uint8_t>(From[I]);
  }
  return Value;
}
inline std::uint16_t get16(const char *From) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(From[0]) << 8U |
                                    static_cast<std::uint8_t>(From[1]));
}

inline std::string encode(Packet P) {
  std::string Bytes(HeadBytes, '\0');
  put32(Bytes, 0, P.Seq);
  put32(Bytes, 4, P.AckNo);
  Bytes[8] = static_cast<char>(P.Flags);
  Bytes[9] = static_cast<char>(P.Pad);
  Bytes[10] = static_cast<char>(P.Data.size() >> 8U);
  Bytes[11] = static_cast<char>(P.Data.size());
  put32(Bytes, 12, P.Sum != 0 ? P.Sum : sumOf(P));
  put32(Bytes, 16, P.Dst);
  Bytes[20] = static_cast<char>(P.Dport >> 8U);
  Bytes[21] = static_cast<char>(P.Dport);
  Bytes[22] = static_cast<char>(P.Sport >> 8U);
  Bytes[23] = static_cast<char>(P.Sport);
  put32(Bytes, 24, P.Src);
  put32(Bytes, 28, P.Echo);
  return Bytes + P.Data;
}

inline std::optional<Packet> decode(const char *Bytes, std::size_t Size) {
  if (Size < HeadBytes || Size != HeadBytes + get16(Bytes + 10)) {
    return std::nullopt;
  }
  Packet P;
  P.Seq = get32(Bytes);
  P.AckNo = get32(Bytes + 4);
  P.Flags = static_cast<std::uint8_t>(Bytes[8]);
  P.Pad = static_cast<std::uint8_t>(Bytes[9]);
  P.Sum = get32(Bytes + 12);
  P.Dst = get32(Bytes + 16);
  P.Dport = get16(Bytes + 20);
  P.Sport = get16(Bytes + 22);
  P.Src = get32(Bytes + 24);
  P.Echo = get32(Bytes + 28);
  P.Data.assign(Bytes + HeadBytes, Size - HeadBytes);
  return P;
}

// A UDP socket bound to one address.
class Udp {
public:
  Udp(std::uint32_t Ip, std::uint16_t Port) {
    this->Handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    int Size = 4 << 20;
    setsockopt(this->Handle, SOL_SOCKET, SO_RCVBUF, &Size, sizeof Size);
    const sockaddr_in At = socketAddress(Ip, Port);
    if (::bind(this->Handle, reinterpret_cast<const sockaddr *>(&At),
               sizeof At) != 0) {
      cannotRun("cannot bind " + ipText(Ip) + ":" + std::to_string(Port));
    }
  }
  ~Udp() { ::close(this->Handle); }
  Udp(const Udp &) = delete;

  void send(std::uint32_t Ip, std::uint16_t Port, const std::string &Bytes) {
    const sockaddr_in To = socketAddress(Ip, Port);
    (void)::sendto(this->Handle, Bytes.data(), Bytes.size(), 0,
                   reinterpret_cast<const sockaddr *>(&To), sizeof To);
  }

  // Waits up to `Ms` and returns one datagram, or nothing.
  std::optional<std::string> receive(int Ms) {
    pollfd Wait{this->Handle, POLLIN, 0};
    if (::poll(&Wait, 1, Ms) <= 0) {
      return std::nullopt;
    }
    char Bytes[2048];
    const ssize_t Size = ::recv(this->Handle, Bytes, sizeof Bytes, 0);
    return Size < 0 ? std::nullopt
                    : std::optional(std::string(Bytes, Bytes + Size));
  }

private:
  int Handle = -1;
};

// ------------------------------------------------------------------ record

// Lines of what happened, with the time in ms; written to a file at once.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "ae")) {
    if (this->File == nullptr) {
      cannotRun("cannot write " + Path);
    }
    std::setvbuf(this->File, nullptr, _IOLBF, 1 << 16);
  }
  ~Record() { std::fclose(this->File); }
  __attribute__((format(printf, 2, 3))) void add(const char *Format, ...) {
    const std::scoped_lock Guard(this->Lock);
    std::fprintf(this->File, "%.1f ", nowMs());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(this->File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', this->File);
  }

private:
  std::mutex Lock;
  std::FILE *File;
};

// ------------------------------------------------------------------ target

struct TargetSettings {
  std::uint32_t Ip = 0;
  std::string Name, Service, RecordPath;
  std::uint32_t Slots = 4;
  std::uint32_t Queue = 16;
  double WorkMs = 30;
};

// A target: holds flows, runs one request per slot, returns packets of flows
// that it does not hold. Records each packet that reaches it.
class Target {
public:
  explicit Target(const TargetSettings &Settings)
      : Settings(Settings), Socket(Settings.Ip, AppPort),
        Out(Settings.RecordPath), Random(std::random_device()()) {}

  [[noreturn]] void run() {
    // SIGUSR1: from now on a share of the requests is never answered.
    std::signal(SIGUSR1, [](int) { hangs() = true; });
    for (;;) {
      if (const auto Bytes = this->Socket.receive(2)) {
        if (const auto P = decode(Bytes->data(), Bytes->size())) {
          this->take(*P);
        }
      }
      this->onTime();
    }
  }

private:
  using Key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t,
                         std::uint16_t>;
  static constexpr double HangShare = 0.45;
  static volatile bool &hangs() {
    static volatile bool Value = false;
    return Value;
  }
  struct Flow {
    std::uint32_t ClientSeq = 0;          // next byte expected of the client
    std::uint32_t Isn = 0, Next = 0;      // own sequence numbers
    std::uint32_t Acked = 0;              // acknowledged by the client
    bool Open = false;
    Packet Answer;                        // the last answer, for retransmission
    int Sent = 0;
    double ResendAt = 0;
  };
  struct Work {
    Key Of;
    std::string Request;
    double DoneAt = 0;
  };

  static Key keyOf(const Packet &P) {
    return {P.Src, P.Sport, P.Dst, P.Dport};
  }

  void note(const char *What, const Packet &P, const std::string &More = "") {
    this->Out.add("target %s %s %s:%u>%s:%u flags %u seq %u ack %u %s",
                  this->Settings.Name.c_str(), What, ipText(P.Src).c_str(),
                  P.Sport, ipText(P.Dst).c_str(), P.Dport, P.Flags, P.Seq,
                  P.AckNo, More.c_str());
  }

  void send(const Packet &P) {
    this->Socket.send(this->Settings.Ip, OutboundPort, encode(P));
  }

  void giveBack(Packet P) {
    P.Flags |= Bounced;
    P.Pad = 0;
    this->send(P);
  }

  Packet reply(const Packet &To, const Flow &F, std::uint8_t Flags) {
    Packet P;
    P.Src = To.Dst;
    P.Sport = To.Dport;
    P.Dst = To.Src;
    P.Dport = To.Sport;
    P.Flags = Flags;
    P.Seq = F.Next;
    P.AckNo = F.ClientSeq;
    return P;
  }

  void take(const Packet &P) {
    if (P.Sum != sumOf(P) || P.Pad != 0 || (P.Flags & Bounced) != 0 ||
        ((P.Flags & Syn) != 0 && (P.Flags & Ack) != 0)) {
      this->note("FORGED", P);
      return;
    }
    const Key K = keyOf(P);
    const auto Found = this->Flows.find(K);
    if ((P.Flags & Syn) != 0) {
      if (Found == this->Flows.end() &&
          this->Pending.size() + this->Running >=
              this->Settings.Slots + this->Settings.Queue) {
        this->note("shed", P);
        this->giveBack(P);
        return;
      }
      Flow &F = this->Flows[K];
      if (Found == this->Flows.end()) {
        F.ClientSeq = P.Seq + 1;
        F.Isn = static_cast<std::uint32_t>(this->Random());
        F.Next = F.Isn + 1;
        F.Acked = F.Next;
        this->note("opening", P);
      } else {
        this->note("opening-again", P);
      }
      Packet Answer = this->reply(P, F, Syn | Ack);
      Answer.Seq = F.Isn;
      this->send(Answer);
      return;
    }
    if (Found == this->Flows.end()) {
      if (this->Ended.contains(K)) {
        this->note("ended", P);
        Flow Gone;
        Gone.Next = P.AckNo;
        Gone.ClientSeq =
            P.Seq + static_cast<std::uint32_t>(P.Data.size()) + 1;
        if ((P.Flags & Fin) != 0) {
          this->send(this->reply(P, Gone, Ack));
        } else if (!P.Data.empty()) {
          this->send(this->reply(P, Gone, Rst));
        }
        return;
      }
      this->note("foreign", P);
      this->giveBack(P);
      return;
    }
    Flow &F = Found->second;
    if (!F.Open) {
      if ((P.Flags & Ack) == 0 || P.AckNo != F.Isn + 1) {
        this->note("foreign", P);
        this->giveBack(P);
        return;
      }
      F.Open = true;
      this->note("opened", P);
    }
    this->note("own", P, P.Data.empty() ? "" : P.Data.substr(0, 60));
    if ((P.Flags & Rst) != 0) {
      this->Flows.erase(Found);
      this->Ended.insert(K);
      // The work for a client that has left ends.
      const auto IsOf = [&K](const Work &Each) { return Each.Of == K; };
      this->Running -=
          static_cast<std::uint32_t>(std::erase_if(this->Busy, IsOf));
      std::erase_if(this->Pending, IsOf);
      return;
    }
    F.Acked = P.AckNo;
    if (F.Acked == F.Next) {
      F.ResendAt = 0;
    }
    if (!P.Data.empty()) {
      if (P.Seq == F.ClientSeq) {
        F.ClientSeq += static_cast<std::uint32_t>(P.Data.size());
        this->Pending.push_back({K, P.Data, 0});
      } else {
        this->send(this->reply(P, F, Ack));
      }
    }
    if ((P.Flags & Fin) != 0) {
      ++F.ClientSeq;
      this->send(this->reply(P, F, Fin | Ack));
      this->Flows.erase(Found);
      this->Ended.insert(K);
    }
  }

  void onTime() {
    const double Now = nowMs();
    while (this->Running < this->Settings.Slots && !this->Pending.empty()) {
      Work W = this->Pending.front();
      this->Pending.pop_front();
      const bool Hangs =
          hangs() && std::uniform_real_distribution<double>(0, 1)(
                         this->Random) < HangShare;
      W.DoneAt = Now + (Hangs ? 1e9 : this->Settings.WorkMs);
      this->Out.add("target %s runs %s %s", this->Settings.Name.c_str(),
                    this->Settings.Service.c_str(),
                    W.Request.substr(0, W.Request.find('\n')).c_str());
      this->Busy.push_back(W);
      ++this->Running;
    }
    for (auto W = this->Busy.begin(); W != this->Busy.end();) {
      if (W->DoneAt > Now) {
        ++W;
        continue;
      }
      --this->Running;
      const auto Found = this->Flows.find(W->Of);
      if (Found != this->Flows.end()) {
        Flow &F = Found->second;
        Packet P;
        std::tie(P.Dst, P.Dport, P.Src, P.Sport) = W->Of;
        P.Flags = Ack;
        P.Seq = F.Next;
        P.AckNo = F.ClientSeq;
        P.Data = "HTTP/1.1 200 OK\r\nX-Mulberryhoist-Response-Signature: " +
                 this->Settings.Name + "\r\nContent-Length: 0\r\n\r\n" +
                 W->Request.substr(0, 60);
        F.Next += static_cast<std::uint32_t>(P.Data.size());
        F.Answer = P;
        F.Sent = 1;
        F.ResendAt = Now + 200;
        this->send(P);
      }
      W = this->Busy.erase(W);
    }
    for (auto &[K, F] : this->Flows) {
      if (F.ResendAt != 0 && Now >= F.ResendAt && F.Sent <= 8) {
        this->send(F.Answer);
        F.ResendAt = Now + std::min(1600.0, 200.0 * (1 << F.Sent++));
      }
    }
  }

  TargetSettings Settings;
  Udp Socket;
  Record Out;
  std::mt19937_64 Random;
  std::map<Key, Flow> Flows;
  std::set<Key> Ended;
  std::deque<Work> Pending;
  std::vector<Work> Busy;
  std::uint32_t Running = 0;
};

// --------------------------------------------------------------- processes

// A process that the run started; ended with the object.
class Child {
public:
  Child() = default;
  Child(Child &&Other) noexcept : Id(std::exchange(Other.Id, -1)) {}
  Child &operator=(Child &&Other) noexcept {
    std::swap(this->Id, Other.Id);
    return *this;
  }
  ~Child() { this->kill(); }

  static Child start(const std::vector<std::string> &Words,
                     const std::vector<std::string> &Environment,
                     const std::string &Output) {
    std::vector<char *> Arguments, Variables;
    for (const std::string &Each : Words) {
      Arguments.push_back(const_cast<char *>(Each.c_str()));
    }
    for (const std::string &Each : Environment) {
      Variables.push_back(const_cast<char *>(Each.c_str()));
    }
    Arguments.push_back(nullptr);
    Variables.push_back(nullptr);
    const int File =
        ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t Id = ::fork();
    if (Id == 0) {
      ::dup2(File, 1);
      ::dup2(File, 2);
      ::execve(Arguments[0], Arguments.data(), Variables.data());
      ::_exit(127);
    }
    ::close(File);
    Child Started;
    Started.Id = Id;
    const std::scoped_lock Guard(childrenLock());
    runningChildren().insert(Id);
    return Started;
  }

  bool signal(int Number) const {
    return this->Id > 0 && ::kill(this->Id, Number) == 0;
  }
  void kill() {
    if (this->Id > 0) {
      ::kill(this->Id, SIGCONT);
      ::kill(this->Id, SIGKILL);
      ::waitpid(this->Id, nullptr, 0);
      this->forget();
    }
  }
  // Waits until the process has ended; false if it has not after `Ms`.
  bool waitEnd(double Ms) {
    const double Until = nowMs() + Ms;
    while (this->Id > 0 && ::waitpid(this->Id, nullptr, WNOHANG) == 0) {
      if (nowMs() > Until) {
        return false;
      }
      sleepMs(5);
    }
    this->forget();
    return true;
  }
  bool hasEnded() {
    if (this->Id > 0 && ::waitpid(this->Id, nullptr, WNOHANG) == this->Id) {
      this->forget();
    }
    return this->Id < 0;
  }

private:
  void forget() {
    const std::scoped_lock Guard(childrenLock());
    runningChildren().erase(this->Id);
    this->Id = -1;
  }

  pid_t Id = -1;
};

// ------------------------------------------------------------------- store

inline std::string base64(const std::string &Bytes) {
  static const char *Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    const std::size_t Count = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t J = 0; J < 3; ++J) {
      Group = Group << 8U |
              (J < Count ? static_cast<std::uint8_t>(Bytes[I + J]) : 0U);
    }
    for (std::size_t J = 0; J < 4; ++J) {
      Text += J <= Count ? Letters[Group >> (18 - 6 * J) & 63U] : '=';
    }
  }
  return Text;
}

// The platform's store: items, watches and the faults that a script needs.
class Store {
public:
  explicit Store(std::uint32_t Ip) {
    this->Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(this->Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    const sockaddr_in At = socketAddress(Ip, StorePort);
    if (::bind(this->Handle, reinterpret_cast<const sockaddr *>(&At),
               sizeof At) != 0 ||
        ::listen(this->Handle, 64) != 0) {
      cannotRun("cannot listen for the store");
    }
    std::thread([this] { this->accept(); }).detach();
  }

  // Writes an item and returns the time of the acknowledgement.
  double put(const std::string &Key, const std::string &Value) {
    const std::scoped_lock Guard(this->Lock);
    const std::uint64_t Now = ++this->Revision;
    Item &Each = this->Items[Key];
    if (Each.Created == 0) {
      Each.Created = Now;
    }
    Each.Key = Key;
    Each.Value = Value;
    Each.Revision = Now;
    this->History.push_back(Each);
    this->Changed.notify_all();
    return nowMs();
  }
  void remove(const std::string &Key) {
    const std::scoped_lock Guard(this->Lock);
    if (this->Items.erase(Key) != 0) {
      Item Gone;
      Gone.Key = Key;
      Gone.Revision = ++this->Revision;
      Gone.Removed = true;
      this->History.push_back(Gone);
      this->Changed.notify_all();
    }
  }
  // Answers all calls with this status from now on; 200 for normal service.
  void setStatus(int Next) {
    const std::scoped_lock Guard(this->Lock);
    this->Status = Next;
    this->Changed.notify_all();
  }
  // The connections that are open now go silent for good.
  void silenceOpenConnections() {
    const std::scoped_lock Guard(this->Lock);
    ++this->Silenced;
    this->Changed.notify_all();
  }
  // When the last watch began that still waits; 0 if none does.
  double watchBegan() {
    const std::scoped_lock Guard(this->Lock);
    return this->WatchBegan;
  }
  int calls() const { return this->Calls; }

private:
  struct Item {
    std::string Key, Value;
    std::uint64_t Created = 0, Revision = 0;
    bool Removed = false;
  };

  void accept() {
    for (;;) {
      const int Peer = ::accept4(this->Handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (Peer >= 0) {
        int On = 1;
        setsockopt(Peer, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
        std::thread([this, Peer] { this->serve(Peer); }).detach();
      }
    }
  }

  void serve(int Peer) {
    int Generation = 0;
    {
      const std::scoped_lock Guard(this->Lock);
      Generation = this->Silenced;
    }
    std::string Buffer;
    for (;;) {
      const auto End = Buffer.find("\r\n\r\n");
      if (End == std::string::npos) {
        char Bytes[4096];
        const ssize_t Size = ::recv(Peer, Bytes, sizeof Bytes, 0);
        if (Size <= 0) {
          break;
        }
        Buffer.append(Bytes, Bytes + Size);
        continue;
      }
      const std::string Line = Buffer.substr(0, Buffer.find("\r\n"));
      Buffer.erase(0, End + 4);
      ++this->Calls;
      const auto From = Line.find(' ') + 1;
      const std::string Target =
          Line.substr(From, Line.find(' ', From) - From);
      const auto [Status, Body] = this->answer(Target, Generation);
      {
        const std::scoped_lock Guard(this->Lock);
        if (Generation != this->Silenced) {
          continue; // reads on, and never answers
        }
      }
      sleepMs(4);
      std::ostringstream Text;
      Text << "HTTP/1.1 " << Status << " x\r\nContent-Type: application/json"
           << "\r\nContent-Length: " << Body.size() << "\r\n\r\n"
           << Body;
      const std::string Bytes = Text.str();
      if (::send(Peer, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
    }
    ::close(Peer);
  }

  static std::map<std::string, std::string> queryOf(const std::string &Target) {
    std::map<std::string, std::string> Query;
    std::string Rest = Target.substr(std::min(Target.size(), Target.find('?')));
    std::replace(Rest.begin(), Rest.end(), '?', '&');
    std::istringstream Parts(Rest);
    for (std::string Part; std::getline(Parts, Part, '&');) {
      const auto Equals = Part.find('=');
      if (Equals != std::string::npos) {
        Query[Part.substr(0, Equals)] = Part.substr(Equals + 1);
      }
    }
    return Query;
  }

  std::pair<int, std::string> answer(const std::string &Target,
                                     int Generation) {
    auto Query = queryOf(Target);
    std::unique_lock Guard(this->Lock);
    if (this->Status != 200) {
      return {this->Status, "{}"};
    }
    std::string List;
    const auto Append = [&List](const Item &Each) {
      List += List.empty() ? "" : ",";
      List += "{\"key\":\"" + Each.Key +
              "\",\"revision\":" + std::to_string(Each.Revision);
      List += Each.Removed
                  ? std::string(",\"deleted\":true}")
                  : ",\"value\":\"" + base64(Each.Value) +
                        "\",\"create_rev\":" + std::to_string(Each.Created) +
                        ",\"lease\":0}";
    };
    const std::string Prefix = Query["prefix"];
    if (Target.starts_with("/kv-range")) {
      for (const auto &[Key, Each] : this->Items) {
        if (Key.starts_with(Prefix) && Key > Query["after"]) {
          Append(Each);
        }
      }
      return {200, "{\"items\":[" + List + "],\"truncated\":false,\"as_of\":" +
                       std::to_string(this->Revision) + "}"};
    }
    if (!Target.starts_with("/kv-watch")) {
      return {404, "{}"};
    }
    const std::uint64_t After = std::stoull(Query["after"]);
    const int Wait = std::stoi(Query["wait_ms"]);
    if (Wait > 100) {
      this->WatchBegan = nowMs();
    }
    this->Changed.wait_for(
        Guard, std::chrono::milliseconds(Wait), [&] {
          return this->Revision > After || this->Status != 200 ||
                 Generation != this->Silenced;
        });
    if (Wait > 100) {
      this->WatchBegan = 0;
    }
    if (this->Status != 200) {
      return {this->Status, "{}"};
    }
    for (const Item &Each : this->History) {
      if (Each.Revision > After && Each.Key.starts_with(Prefix)) {
        Append(Each);
      }
    }
    return {200, "{\"events\":[" + List +
                     "],\"as_of\":" + std::to_string(this->Revision) + "}"};
  }

  int Handle = -1;
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Item> History;
  std::uint64_t Revision = 100;
  int Status = 200;
  int Silenced = 0;
  double WatchBegan = 0;
  std::atomic<int> Calls{0};
};

// ------------------------------------------------------------------ router

// Hashes flows by `mod` over the balancers in rotation, which it asks for
// `/ready` twice a second; two misses take one out.
class Router {
public:
  explicit Router(std::vector<std::uint32_t> Nodes) : Nodes(std::move(Nodes)) {
    this->Misses.assign(this->Nodes.size(), 2);
    std::thread([this] { this->probe(); }).detach();
  }

  std::optional<std::uint32_t> choose(const Packet &P) {
    const std::scoped_lock Guard(this->Lock);
    std::vector<std::uint32_t> In;
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      if (this->Misses[I] < 2) {
        In.push_back(this->Nodes[I]);
      }
    }
    if (In.size() * 2 < this->Nodes.size()) {
      In = this->Nodes;
    }
    std::uint32_t Hash = P.Src * 2654435761U ^ P.Dst;
    Hash = (Hash ^ P.Sport) * 2246822519U;
    Hash = (Hash ^ (Hash >> 15U) ^ P.Dport) * 3266489917U;
    Hash ^= Hash >> 16U;
    return In[Hash % In.size()];
  }

  bool isIn(std::size_t Node) {
    const std::scoped_lock Guard(this->Lock);
    return this->Misses[Node] < 2;
  }

private:
  static bool isReady(std::uint32_t Ip) {
    const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval Limit{0, 400'000};
    setsockopt(Handle, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    setsockopt(Handle, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    const sockaddr_in To = socketAddress(Ip, ReadyPort);
    char Bytes[512] = {};
    bool Ready = false;
    if (::connect(Handle, reinterpret_cast<const sockaddr *>(&To),
                  sizeof To) == 0) {
      const std::string Call =
          "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      (void)::send(Handle, Call.data(), Call.size(), MSG_NOSIGNAL);
      Ready = ::recv(Handle, Bytes, sizeof Bytes - 1, 0) > 0 &&
              std::strstr(Bytes, " 200 ") != nullptr;
    }
    ::close(Handle);
    return Ready;
  }

  void probe() {
    for (double Next = nowMs();; Next += 500) {
      sleepUntilMs(Next);
      for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
        const bool Ready = isReady(this->Nodes[I]);
        const std::scoped_lock Guard(this->Lock);
        this->Misses[I] = Ready ? 0 : this->Misses[I] + 1;
      }
    }
  }

  std::vector<std::uint32_t> Nodes;
  std::mutex Lock;
  std::vector<int> Misses;
};

// ------------------------------------------------------------------ client

struct ClientSettings {
  std::uint32_t Ip = 0, RouteIp = 0;
  std::uint16_t RoutePort = 0;
  double DeadlineMs = 4000;
};

// How a client's request ended.
enum class Ended { Served, Reset, NeverOpened, Deadline };

// Many clients behind one address: each flow has a port of its own and sends
// one request after the other, with pauses.
class Clients {
public:
  using Hook = std::function<void(std::uint16_t Port, Ended)>;

  Clients(const ClientSettings &Settings, Router &Way, Record &Out)
      : Settings(Settings), Way(Way), Out(Out),
        Socket(Settings.Ip, PacketPort), Random(std::random_device()()),
        Thread([this](const std::stop_token &Stop) { this->run(Stop); }) {}

  // Opens a flow that sends `Requests` requests, `PauseMs` apart on average.
  std::uint16_t open(int Requests, double PauseMs, double DelayMs = 0) {
    const std::scoped_lock Guard(this->Lock);
    const std::uint16_t Port = this->NextPort++;
    Flow &F = this->Flows[Port];
    F.Left = Requests;
    F.PauseMs = PauseMs;
    F.Isn = static_cast<std::uint32_t>(this->Random());
    F.Seq = F.Isn + 1;
    F.Dst = this->Settings.RouteIp;
    F.Dport = this->Settings.RoutePort;
    F.StartAt = nowMs() + DelayMs;
    return Port;
  }
  // As `open`, to another address.
  std::uint16_t openTo(std::uint32_t Ip, std::uint16_t RoutePort) {
    const std::uint16_t Port = this->open(1, 0);
    const std::scoped_lock Guard(this->Lock);
    this->Flows[Port].Dst = Ip;
    this->Flows[Port].Dport = RoutePort;
    return Port;
  }
  std::map<Ended, int> outcomes() {
    const std::scoped_lock Guard(this->Lock);
    return this->Outcomes;
  }
  std::size_t openFlows() {
    const std::scoped_lock Guard(this->Lock);
    return std::count_if(this->Flows.begin(), this->Flows.end(),
                         [](const auto &E) { return E.second.Open; });
  }

private:
  struct Flow {
    std::uint32_t Isn = 0, Seq = 0, Peer = 0, Dst = 0;
    std::uint16_t Dport = 0;
    bool Open = false, Closed = false, Waiting = false;
    int Left = 0, Number = 0, Copies = 0, Sent = 0;
    double PauseMs = 0, StartAt = 0, SynAt = 0, NextAt = 0, ResendAt = 0,
           RequestAt = 0;
    std::string Request;
  };

  Packet packet(std::uint16_t Port, const Flow &F, std::uint8_t Flags) const {
    Packet P;
    P.Src = this->Settings.Ip;
    P.Sport = Port;
    P.Dst = F.Dst;
    P.Dport = F.Dport;
    P.Flags = Flags;
    P.Seq = F.Seq;
    P.AckNo = F.Peer;
    return P;
  }

  void send(const Packet &P, const char *What) {
    const auto To = this->Way.choose(P);
    this->Out.add("client sends %s %s:%u>%s:%u flags %u seq %u ack %u via %s %s",
                  What, ipText(P.Src).c_str(), P.Sport, ipText(P.Dst).c_str(),
                  P.Dport, P.Flags, P.Seq, P.AckNo, ipText(*To).c_str(),
                  P.Data.substr(0, P.Data.find('\n')).c_str());
    this->Socket.send(*To, PacketPort, encode(P));
  }

  void end(std::uint16_t Port, Flow &F, Ended How) {
    static const char *Names[] = {"served", "reset", "never-opened",
                                  "deadline"};
    ++this->Outcomes[How];
    this->Out.add("client request %s:%u#%d %s after %.0f ms",
                  ipText(this->Settings.Ip).c_str(), Port, F.Number,
                  Names[static_cast<int>(How)],
                  nowMs() - (F.RequestAt != 0 ? F.RequestAt : F.SynAt));
  }

  void sendRequest(std::uint16_t Port, Flow &F) {
    F.Waiting = true;
    ++F.Number;
    F.RequestAt = nowMs();
    F.Sent = 1;
    F.ResendAt = F.RequestAt + 200;
    F.Request = "GET /r HTTP/1.1\r\nX-Mulberryhoist-Request-Id: " +
                ipText(this->Settings.Ip) + ":" + std::to_string(Port) + "#" +
                std::to_string(F.Number) + "\r\n\r\n";
    Packet P = this->packet(Port, F, Ack);
    P.Data = F.Request;
    this->send(P, "request");
  }

  void onTime(std::uint16_t Port, Flow &F, double Now) {
    if (F.Closed || Now < F.StartAt) {
      return;
    }
    if (!F.Open) {
      constexpr double CopyAt[] = {0, 200, 600, 1400};
      if (F.SynAt == 0) {
        F.SynAt = Now;
      }
      if (F.Copies < 3 && Now >= F.SynAt + CopyAt[F.Copies]) {
        Packet P = this->packet(Port, F, Syn);
        P.Seq = F.Isn;
        P.AckNo = static_cast<std::uint32_t>(F.Copies++);
        this->send(P, "opening");
      } else if (Now >= F.SynAt + CopyAt[3]) {
        F.Closed = true;
        this->end(Port, F, Ended::NeverOpened);
      }
      return;
    }
    if (F.Waiting) {
      if (Now >= F.RequestAt + this->Settings.DeadlineMs) {
        F.Closed = true;
        this->end(Port, F, Ended::Deadline);
        this->send(this->packet(Port, F, Rst), "reset");
      } else if (Now >= F.ResendAt) {
        Packet P = this->packet(Port, F, Ack);
        P.Data = F.Request;
        this->send(P, "again");
        F.ResendAt = Now + std::min(1600.0, 200.0 * (1 << F.Sent++));
      }
    } else if (Now >= F.NextAt) {
      if (F.Left > 0) {
        --F.Left;
        this->sendRequest(Port, F);
      } else {
        F.Closed = true;
        this->send(this->packet(Port, F, Fin | Ack), "end");
      }
    }
  }

  void take(const Packet &P) {
    const auto Found = this->Flows.find(P.Dport);
    if (Found == this->Flows.end()) {
      return;
    }
    Flow &F = Found->second;
    this->Out.add("client gets %s:%u>%s:%u flags %u seq %u ack %u sum %s %s",
                  ipText(P.Src).c_str(), P.Sport, ipText(P.Dst).c_str(),
                  P.Dport, P.Flags, P.Seq, P.AckNo,
                  P.Sum == 0 ? "0" : P.Sum == sumOf(P) ? "ok" : "BAD",
                  F.Open && !F.Closed ? "open" : "not-open");
    if (F.Closed) {
      return;
    }
    if ((P.Flags & Rst) != 0) {
      const std::uint32_t Off = P.Seq - F.Peer;
      const bool InWindow = Off <= 76800 || 0U - Off <= 76800;
      if (!F.Open || InWindow) {
        F.Closed = true;
        this->Out.add("client flow %s:%u is reset %s",
                      ipText(this->Settings.Ip).c_str(), P.Dport,
                      F.Open ? "while open" : "before it opened");
        if (!F.Open || F.Waiting) {
          this->end(P.Dport, F, F.Open ? Ended::Reset : Ended::NeverOpened);
        }
      }
      return;
    }
    if ((P.Flags & Syn) != 0) {
      if (!F.Open && P.AckNo == F.Isn + 1) {
        F.Open = true;
        F.Peer = P.Seq + 1;
        --F.Left;
        this->sendRequest(P.Dport, F);
      }
      return;
    }
    if (!P.Data.empty()) {
      if (P.Seq == F.Peer && F.Waiting) {
        F.Peer += static_cast<std::uint32_t>(P.Data.size());
        F.Seq += static_cast<std::uint32_t>(F.Request.size());
        F.Waiting = false;
        this->end(P.Dport, F, Ended::Served);
        F.NextAt = nowMs() + std::uniform_real_distribution<double>(
                                 0.5 * F.PauseMs, 1.5 * F.PauseMs)(this->Random);
      }
      this->send(this->packet(P.Dport, F, Ack), "ack");
    }
  }

  void run(const std::stop_token &Stop) {
    double NextTurn = 0;
    while (!Stop.stop_requested()) {
      auto Bytes = this->Socket.receive(1);
      const std::scoped_lock Guard(this->Lock);
      while (Bytes) {
        if (const auto P = decode(Bytes->data(), Bytes->size())) {
          this->take(*P);
        }
        Bytes = this->Socket.receive(0);
      }
      const double Now = nowMs();
      if (Now >= NextTurn) {
        NextTurn = Now + 1;
        for (auto &[Port, F] : this->Flows) {
          this->onTime(Port, F, Now);
        }
      }
    }
  }

  ClientSettings Settings;
  Router &Way;
  Record &Out;
  Udp Socket;
  std::mt19937_64 Random;
  std::mutex Lock;
  std::map<std::uint16_t, Flow> Flows;
  std::map<Ended, int> Outcomes;
  std::uint16_t NextPort = 2000;
  std::jthread Thread;
};

// -------------------------------------------------------------- deployment

struct Machine {
  std::uint32_t Ip = 0;
  std::string Name, Settings, Output;
  Child Process;
  Child App;
  double BeatPhase = 0;
};

// The machines of a small deployment, with the settings of DEPLOY.md.
class Deployment {
public:
  Deployment(std::string RecordPath, std::string BalancerWord,
             std::string AgentWord)
      : BalancerWord(std::move(BalancerWord)),
        AgentWord(std::move(AgentWord)) {
    char Template[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(Template) == nullptr) {
      cannotRun("no temporary folder");
    }
    this->Folder = Template;
    runFolder() = this->Folder;
    this->RecordPath = std::move(RecordPath);
    std::filesystem::remove(this->RecordPath);
    // A network of its own for each run: 127.A.B.0/24.
    const auto Pid = static_cast<std::uint32_t>(::getpid());
    this->Network = 0x7F000000U | (64U + Pid % 128U) << 16U |
                    (Pid / 128U % 250U) << 8U;
  }
  ~Deployment() {
    this->Balancers.clear();
    this->Sides.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(this->Folder, Ignored);
  }

  std::uint32_t ip(std::uint32_t Last) const { return this->Network + Last; }

  std::string settingsOf(const Machine &M, bool IsSide,
                         const std::string &Service) const {
    const std::string Ip = ipText(M.Ip);
    std::string Seeds;
    for (std::size_t I = 0; I < std::min<std::size_t>(3, this->BalancerCount);
         ++I) {
      Seeds += (I != 0 ? ",\"" : "\"") +
               ipText(this->ip(static_cast<std::uint32_t>(1 + I))) + ":" +
               std::to_string(ControlPort) + "\"";
    }
    std::ostringstream T;
    T << "node = \"" << M.Name << "\"\nrole = \""
      << (IsSide ? "agent" : "balancer") << "\"\nclass = \""
      << (IsSide ? "side" : "edge") << "\"\nserves = "
      << (IsSide ? "[\"side\"]" : "[\"edge\",\"control\"]") << "\nip = \"" << Ip
      << "\"\nzone = \"z-one\"\nregion = \"r-one\"\nport_range = [7720,7735]\n"
      << "seeds = [" << Seeds << "]\nbootstrap = true\nloss_counts = false\n"
      << "discovery = \"platform\"\nentry = \"announce\"\nheartbeat_ms = 1200\n"
      << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
         "\"flows\",\"platform\"]\nhash = \"mod\"\ndeploy_mode = \"agent\"\n";
    if (IsSide) {
      T << "backend = \"" << Service << "\"\napp = \"" << Ip << ":" << AppPort
        << "\"\n";
    }
    T << "[zones]\nz-one = \"r-one\"\n[listen]\nudp_addr = \"" << Ip << ":"
      << PacketPort << "\"\nready = \"" << Ip << ":" << ReadyPort << "\"\n";
    T << (IsSide ? "outbound" : "control") << " = \"" << Ip << ":"
      << (IsSide ? OutboundPort : ControlPort) << "\"\n";
    T << "[limits]\ncpu_share = 0.25\ncores = 1\nram_mb = 260\nmax_fds = 4100\n"
      << "link_mbps = 1000.0\ndisk_mb = 0\n"
      << "[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
      << "[bounds]\nseed_lag_s = 3\nreuse_s = 2\nstable_ms = 4000\n"
      << "ack_ms = 5000\nsync_s = 4\ndrain_ms = 3000\ngrace_s = 6\n"
      << "loss_slack_ms = 200\napply_ms = 3000\nrollback_slack_ms = 250\n"
      << "skew_max_ms = 12000\nrecovery_s = 12\nreorder_ms = 2000\n"
      << "flow_ttl_s = 60\n[platform]\naddr = \"" << ipText(this->ip(250))
      << ":" << StorePort << "\"\ndeploy_mode = \"read\"\nwrites_per_s = 400\n"
      << "reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
      << "min_ttl_ms = 1000\n";
    return T.str();
  }

  void addBalancers(std::size_t Count) {
    this->BalancerCount = Count;
    for (std::size_t I = 0; I < Count; ++I) {
      Machine &M = this->Balancers.emplace_back();
      M.Ip = this->ip(static_cast<std::uint32_t>(1 + I));
      M.Name = "edge-" + std::to_string(1 + I);
      this->prepare(M, false, "");
      this->startBalancer(I);
    }
  }
  void startBalancer(std::size_t I) {
    Machine &M = this->Balancers[I];
    M.Process = Child::start({this->BalancerWord},
                             {"PATH=/usr/bin:/bin", "HOME=/tmp",
                              "MULBERRYHOIST_BOOT=" + M.Settings},
                             M.Output);
  }

  // Adds a machine with a target and the agent beside it, and registers the
  // target. Returns its number.
  std::size_t addSide(const std::string &Service, std::uint32_t Slots,
                      double WorkMs) {
    const std::size_t I = this->Sides.size();
    Machine &M = this->Sides.emplace_back();
    M.Ip = this->ip(static_cast<std::uint32_t>(100 + I));
    M.Name = "side-" + std::to_string(1 + I);
    M.BeatPhase = nowMs();
    this->prepare(M, true, Service);
    this->startApp(I, Service, Slots, WorkMs);
    this->startAgent(I);
    return I;
  }
  void startAgent(std::size_t I) {
    Machine &M = this->Sides[I];
    M.Process = Child::start({this->AgentWord},
                             {"PATH=/usr/bin:/bin", "HOME=/tmp",
                              "MULBERRYHOIST_BOOT=" + M.Settings},
                             M.Output);
  }
  void startApp(std::size_t I, const std::string &Service, std::uint32_t Slots,
                double WorkMs) {
    Machine &M = this->Sides[I];
    M.App = Child::start(
        {"/proc/self/exe", "target", ipText(M.Ip), "target-" + std::to_string(1 + I),
         Service, std::to_string(Slots), std::to_string(WorkMs),
         this->RecordPath},
        {}, this->Folder + "/" + M.Name + ".app");
  }

  // The entry that a target writes of itself.
  std::string entryOf(std::size_t I, const std::string &Service,
                      std::uint32_t Slots, const std::string &State) const {
    std::ostringstream T;
    const auto Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count() -
                      static_cast<std::int64_t>(nowMs() -
                                                this->Sides[I].BeatPhase);
    T << "{\"backend\":\"" << Service << "\",\"addr\":\""
      << ipText(this->Sides[I].Ip) << ":" << AppPort
      << "\",\"zone\":\"z-one\",\"version\":\"1.0\",\"slots\":" << Slots
      << ",\"state\":\"" << State
      << "\",\"cold_left_ms\":0,\"seq\":7,\"born\":" << Born << "}";
    return T.str();
  }
  std::string keyOf(std::size_t I) const {
    return "servers/i-" + this->Sides[I].Name;
  }

  std::string Folder, RecordPath;
  std::deque<Machine> Balancers, Sides;

private:
  void prepare(Machine &M, bool IsSide, const std::string &Service) {
    M.Settings = this->Folder + "/" + M.Name + ".toml";
    M.Output = this->Folder + "/" + M.Name + ".log";
    std::ofstream(M.Settings) << this->settingsOf(M, IsSide, Service);
  }

  std::string BalancerWord, AgentWord;
  std::uint32_t Network = 0;
  std::size_t BalancerCount = 0;
};

// Waits until all balancers are in rotation.
inline void awaitRotation(Router &Way, std::size_t Balancers) {
  const double Until = nowMs() + 10'000;
  for (std::size_t I = 0; I < Balancers; ++I) {
    while (!Way.isIn(I)) {
      if (nowMs() > Until) {
        cannotRun("a balancer does not become ready");
      }
      sleepMs(20);
    }
  }
}

// Stops a balancer as the platform does, and starts it again.
inline void restartBalancer(Deployment &Site, std::size_t I, Record &Out) {
  Machine &M = Site.Balancers[I];
  Out.add("platform SIGTERM %s", M.Name.c_str());
  M.Process.signal(SIGTERM);
  if (!M.Process.waitEnd(6000)) {
    M.Process.kill();
  }
  Out.add("platform %s has ended", M.Name.c_str());
  sleepMs(500);
  Site.startBalancer(I);
  Out.add("platform starts %s", M.Name.c_str());
}

// The lines of the record, split at spaces.
inline std::vector<std::vector<std::string>> linesOf(const std::string &Path) {
  std::vector<std::vector<std::string>> Lines;
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Words(Line);
    auto &Each = Lines.emplace_back();
    for (std::string Word; Words >> Word;) {
      Each.push_back(Word);
    }
  }
  return Lines;
}

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

// Ends the run: prints the verdict, leaves it in the record, and exits. The
// threads of the stand-ins are not joined.
[[noreturn]] inline void finish(std::unique_ptr<Deployment> Site, Record &Out,
                                bool Broken, const std::string &What) {
  Out.add("verdict %s: %s", Broken ? "BROKEN" : "held", What.c_str());
  std::printf("%s: %s\n", Broken ? "BROKEN" : "held", What.c_str());
  std::fflush(nullptr);
  Site.reset();
  std::_Exit(Broken ? 1 : 0);
}

// Runs the target if the process was started as one.
inline void runTargetIfAsked(int Count, char **Words) {
  if (Count == 8 && std::string(Words[1]) == "target") {
    TargetSettings S;
    S.Ip = ipOf(Words[2]);
    S.Name = Words[3];
    S.Service = Words[4];
    S.Slots = static_cast<std::uint32_t>(std::stoul(Words[5]));
    S.WorkMs = std::stod(Words[6]);
    S.RecordPath = Words[7];
    Target(S).run();
  }
}

// The configuration as the operator writes it, with idle routes.
struct RouteLine {
  std::string Host, Service;
  std::uint16_t Port = 0;
  // Services and weights; used in place of `Service` unless empty.
  std::vector<std::pair<std::string, int>> Split;
};
inline std::string configuration(std::uint64_t Version,
                                 const std::vector<RouteLine> &Routes,
                                 int TimeoutMs) {
  std::ostringstream T;
  T << "{\"version\":" << Version << ",\"routes\":[";
  for (std::size_t I = 0; I < Routes.size(); ++I) {
    T << (I != 0 ? "," : "") << "{\"name\":\"r" << I << "\",\"host\":\""
      << Routes[I].Host << "\",\"prefix\":\"/" << Routes[I].Port << "/\",";
    if (Routes[I].Split.empty()) {
      T << "\"backend\":\"" << Routes[I].Service << "\"";
    } else {
      T << "\"split\":[";
      for (std::size_t J = 0; J < Routes[I].Split.size(); ++J) {
        T << (J != 0 ? "," : "") << "{\"backend\":\""
          << Routes[I].Split[J].first
          << "\",\"weight\":" << Routes[I].Split[J].second << "}";
      }
      T << "]";
    }
    T << ",\"type\":\"safe\",\"timeout_ms\":" << TimeoutMs
      << ",\"goal_ms\":250,\"max_attempts\":1,\"priority\":2}";
  }
  T << "],\"backends\":[{\"name\":\"feed\",\"health_path\":\"/health\","
       "\"max_conns\":2000}],\"limits\":{\"max_header_bytes\":8192,"
       "\"max_body_bytes\":262144,\"header_timeout_ms\":5000,"
       "\"idle_timeout_ms\":30000}}";
  return T.str();
}

} // namespace kit
