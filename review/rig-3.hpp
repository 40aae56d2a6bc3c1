// Stand-ins of the store, the targets and the clients, and the processes of a
// small deployment on loopback addresses. One event loop, one thread.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline Clock::time_point &origin() {
  static Clock::time_point Origin = Clock::now();
  return Origin;
}
/// Milliseconds since the start of the script.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - origin())
      .count();
}

[[noreturn]] inline void cannotRun(const std::string &Why) {
  throw std::runtime_error(Why);
}

/// record.txt
class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")) {
    if (File == nullptr) {
      cannotRun("cannot write " + Path);
    }
  }
  ~Record() { std::fclose(File); }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    std::fprintf(File, "%9.3f ", nowMs() / 1000);
    va_list List;
    va_start(List, Format);
    std::vfprintf(File, Format, List);
    va_end(List);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::FILE *File;
};

struct Address {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const Address &) const = default;
  std::string ip() const {
    in_addr In{htonl(Ip)};
    char Text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &In, Text, sizeof(Text));
    return Text;
  }
  std::string text() const { return ip() + ":" + std::to_string(Port); }
  sockaddr_in native() const {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_addr.s_addr = htonl(Ip);
    To.sin_port = htons(Port);
    return To;
  }
};

inline int udpSocket(Address Local) {
  const int Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Native = Local.native();
  if (Fd < 0 || bind(Fd, reinterpret_cast<const sockaddr *>(&Native),
                     sizeof(Native)) != 0) {
    cannotRun("cannot bind UDP " + Local.text());
  }
  return Fd;
}

inline void sendTo(int Fd, Address To, const std::vector<std::uint8_t> &Bytes) {
  const sockaddr_in Native = To.native();
  (void)sendto(Fd, Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&Native), sizeof(Native));
}

// ---------------------------------------------------------------- packets

constexpr std::uint8_t Fin = 2, Rst = 4, Syn = 16, Ack = 32, Bounced = 64;
constexpr std::size_t HeadBytes = 32;

struct Packet {
  std::uint32_t Seq = 0, AckNo = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Sum = 0, Dst = 0, Src = 0, Echo = 0;
  std::uint16_t Dport = 0, Sport = 0;
  std::string Data;

  bool has(std::uint8_t Bits) const { return (Flags & Bits) == Bits; }

  /// The sum that a sender writes; only the ends know how it is formed.
  std::uint32_t expectedSum() const {
    std::uint32_t Hash = 2166136261U;
    const auto Add = [&Hash](std::uint64_t Value) {
      for (int I = 0; I < 8; ++I) {
        Hash = (Hash ^ ((Value >> (8 * I)) & 0xff)) * 16777619U;
      }
    };
    Add(Seq), Add(AckNo), Add(Flags & ~Bounced), Add(Dst), Add(Dport);
    Add(Src), Add(Sport), Add(Data.size());
    for (const char Each : Data) {
      Add(static_cast<std::uint8_t>(Each));
    }
    return Hash | 1U;
  }

  std::vector<std::uint8_t> bytes() const {
    std::vector<std::uint8_t> Out(HeadBytes + Data.size(), 0);
    const auto Put32 = [&Out](std::size_t At, std::uint32_t V) {
      for (int I = 0; I < 4; ++I) {
        Out[At + static_cast<std::size_t>(I)] =
            static_cast<std::uint8_t>(V >> (24 - 8 * I));
      }
    };
    const auto Put16 = [&Out](std::size_t At, std::uint16_t V) {
      Out[At] = static_cast<std::uint8_t>(V >> 8);
      Out[At + 1] = static_cast<std::uint8_t>(V);
    };
    Put32(0, Seq), Put32(4, AckNo);
    Out[8] = Flags;
    Put16(10, static_cast<std::uint16_t>(Data.size()));
    Put32(12, Sum), Put32(16, Dst), Put16(20, Dport), Put16(22, Sport);
    Put32(24, Src), Put32(28, Echo);
    std::copy(Data.begin(), Data.end(), Out.begin() + HeadBytes);
    return Out;
  }

  static bool parse(const std::uint8_t *In, std::size_t Size, Packet &To) {
    if (Size < HeadBytes) {
      return false;
    }
    const auto Get32 = [In](std::size_t At) {
      return (std::uint32_t{In[At]} << 24) | (std::uint32_t{In[At + 1]} << 16) |
             (std::uint32_t{In[At + 2]} << 8) | In[At + 3];
    };
    const auto Get16 = [In](std::size_t At) {
      return static_cast<std::uint16_t>((In[At] << 8) | In[At + 1]);
    };
    To.Seq = Get32(0), To.AckNo = Get32(4), To.Flags = In[8];
    To.Sum = Get32(12), To.Dst = Get32(16), To.Dport = Get16(20);
    To.Sport = Get16(22), To.Src = Get32(24), To.Echo = Get32(28);
    To.Data.assign(In + HeadBytes, In + Size);
    return Get16(10) == To.Data.size();
  }
};

using Flow = std::pair<Address, Address>; // client, route

// ---------------------------------------------------------------- store

inline std::string base64(const std::string &Bytes) {
  static const char *Table =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J) {
      Group =
          (Group << 8) |
          (I + J < Bytes.size() ? static_cast<std::uint8_t>(Bytes[I + J]) : 0U);
    }
    for (std::size_t J = 0; J < 4; ++J) {
      Out += I + J <= Bytes.size() ? Table[(Group >> (18 - 6 * J)) & 63] : '=';
    }
  }
  return Out;
}

/// The platform's store: kv-key, kv-range, kv-watch, and the header Store-Era.
class Store {
public:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0, Created = 0;
    bool Deleted = false;
    std::string Key;
  };
  struct Copy {
    std::map<std::string, Item> Items;
    std::vector<Item> History;
    std::uint64_t Revision = 0;
  };

  explicit Store(Address Local) : Local(Local) { listenNow(); }
  ~Store() { goAway(); }
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// Writes an item; the same value changes nothing.
  std::uint64_t put(const std::string &Key, const std::string &Value) {
    Item &Entry = Now.Items[Key];
    if (Entry.Value == Value && Entry.Revision != 0) {
      return Entry.Revision;
    }
    const bool IsNew = Entry.Revision == 0;
    Entry.Key = Key, Entry.Value = Value, Entry.Revision = ++Now.Revision;
    Entry.Created = IsNew ? Entry.Revision : Entry.Created;
    Now.History.push_back(Entry);
    return Entry.Revision;
  }
  std::uint64_t remove(const std::string &Key) {
    if (Now.Items.erase(Key) != 0) {
      Item Event;
      Event.Key = Key, Event.Deleted = true, Event.Revision = ++Now.Revision;
      Now.History.push_back(Event);
    }
    return Now.Revision;
  }
  bool isUp() const { return Listener >= 0 && !IsSilent; }
  std::uint64_t revision() const { return Now.Revision; }
  std::uint64_t revisionOf(const std::string &Key) const {
    const auto Found = Now.Items.find(Key);
    return Found == Now.Items.end() ? 0 : Found->second.Revision;
  }
  std::uint64_t era() const { return Era; }
  Copy copy() const { return Now; }

  /// Resets all connections and takes no new ones.
  void goAway() {
    for (auto &Each : Connections) {
      linger Hard{1, 0};
      setsockopt(Each->Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
      close(Each->Fd);
    }
    Connections.clear();
    if (Listener >= 0) {
      close(Listener);
      Listener = -1;
    }
  }
  /// Answers nothing; connections stay, and requests wait.
  void fallSilent() { IsSilent = true; }
  /// Answers again, from a copy; revisions go back. A watch that was waiting
  /// goes on waiting for a revision after its own.
  void resumeFrom(const Copy &Old) {
    Now = Old;
    ++Era;
    IsSilent = false;
  }
  /// Comes back from a copy; revisions go back.
  void comeBackFrom(const Copy &Old) {
    Now = Old;
    ++Era;
    listenNow();
  }

  void addPolled(std::vector<pollfd> &To) const {
    if (Listener >= 0) {
      To.push_back({Listener, POLLIN, 0});
    }
    for (const auto &Each : Connections) {
      To.push_back(
          {Each->Fd,
           static_cast<short>(POLLIN | (Each->Out.empty() ? 0 : POLLOUT)), 0});
    }
  }
  void turn() {
    if (IsSilent) {
      return;
    }
    if (Listener >= 0) {
      int Fd;
      while ((Fd = accept4(Listener, nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        Connections.push_back(std::make_unique<Connection>(
            Connection{Fd, {}, {}, false, 0, 0, {}}));
      }
    }
    for (auto &Each : Connections) {
      serve(*Each);
    }
    std::erase_if(Connections, [](const auto &Each) { return Each->Fd < 0; });
  }

private:
  struct Connection {
    int Fd;
    std::string In, Out;
    bool Watches;
    std::uint64_t After;
    double Until;
    std::string Prefix;
  };

  void listenNow() {
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int One = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    const sockaddr_in Native = Local.native();
    if (bind(Listener, reinterpret_cast<const sockaddr *>(&Native),
             sizeof(Native)) != 0 ||
        listen(Listener, 64) != 0) {
      cannotRun("cannot listen at " + Local.text());
    }
  }

  static std::map<std::string, std::string> query(const std::string &Target) {
    std::map<std::string, std::string> All;
    const auto Mark = Target.find('?');
    std::istringstream Text(
        Mark == std::string::npos ? "" : Target.substr(Mark + 1));
    for (std::string Pair; std::getline(Text, Pair, '&');) {
      const auto Equal = Pair.find('=');
      std::string Value;
      for (std::size_t I = Equal + 1;
           Equal != std::string::npos && I < Pair.size(); ++I) {
        if (Pair[I] == '%' && I + 2 < Pair.size()) {
          Value +=
              static_cast<char>(std::stoi(Pair.substr(I + 1, 2), nullptr, 16));
          I += 2;
        } else {
          Value += Pair[I];
        }
      }
      All[Pair.substr(0, Equal)] = Value;
    }
    return All;
  }

  static std::string itemJson(const Item &Each) {
    if (Each.Deleted) {
      return "{\"key\":\"" + Each.Key +
             "\",\"revision\":" + std::to_string(Each.Revision) +
             ",\"deleted\":true}";
    }
    return "{\"key\":\"" + Each.Key + "\",\"value\":\"" + base64(Each.Value) +
           "\",\"revision\":" + std::to_string(Each.Revision) +
           ",\"create_rev\":" + std::to_string(Each.Created) + ",\"lease\":0}";
  }

  void answer(Connection &To, int Status, const std::string &Body) const {
    To.Out += "HTTP/1.1 " + std::to_string(Status) +
              " x\r\nContent-Type: application/json\r\nStore-Era: " +
              std::to_string(Era) +
              "\r\nContent-Length: " + std::to_string(Body.size()) +
              "\r\n\r\n" + Body;
  }

  void handle(Connection &From, const std::string &Target) {
    auto Query = query(Target);
    const std::string Path = Target.substr(0, Target.find('?'));
    if (Path == "/kv-range") {
      std::string List;
      for (const auto &[Key, Each] : Now.Items) {
        if (Key.starts_with(Query["prefix"]) && Key > Query["after"]) {
          List += (List.empty() ? "" : ",") + itemJson(Each);
        }
      }
      answer(From, 200,
             "{\"items\":[" + List + "],\"truncated\":false,\"as_of\":" +
                 std::to_string(Now.Revision) + "}");
    } else if (Path == "/kv-watch") {
      From.Watches = true;
      From.After = std::stoull(Query["after"]);
      From.Until = nowMs() + std::stod(Query["wait_ms"]);
      From.Prefix = Query["prefix"];
      if (From.After > Now.Revision) {
        // A revision that this store doesn't have.
        answer(From, 410, "{}");
        From.Watches = false;
      }
    } else if (Path == "/kv-key" && Now.Items.contains(Query["key"])) {
      std::string Body = itemJson(Now.Items[Query["key"]]);
      Body.pop_back();
      answer(From, 200,
             Body + ",\"as_of\":" + std::to_string(Now.Revision) + "}");
    } else {
      answer(From, 404, "{}");
    }
  }

  void serveWatch(Connection &Each) const {
    std::string List;
    for (const Item &Event : Now.History) {
      if (Event.Revision > Each.After && Event.Key.starts_with(Each.Prefix)) {
        List += (List.empty() ? "" : ",") + itemJson(Event);
      }
    }
    if (!List.empty() || nowMs() >= Each.Until) {
      answer(Each, 200,
             "{\"events\":[" + List +
                 "],\"as_of\":" + std::to_string(Now.Revision) + "}");
      Each.Watches = false;
    }
  }

  void serve(Connection &Each) {
    char Buffer[4096];
    ssize_t Got;
    while ((Got = recv(Each.Fd, Buffer, sizeof(Buffer), 0)) > 0) {
      Each.In.append(Buffer, static_cast<std::size_t>(Got));
    }
    const bool IsClosed =
        Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    std::size_t End;
    while (!Each.Watches &&
           (End = Each.In.find("\r\n\r\n")) != std::string::npos) {
      const std::string Head = Each.In.substr(0, End);
      Each.In.erase(0, End + 4);
      const auto First = Head.find(' ');
      handle(Each,
             Head.substr(First + 1, Head.find(' ', First + 1) - First - 1));
    }
    if (Each.Watches) {
      serveWatch(Each);
    }
    if (!Each.Out.empty()) {
      const ssize_t Sent =
          send(Each.Fd, Each.Out.data(), Each.Out.size(), MSG_NOSIGNAL);
      if (Sent > 0) {
        Each.Out.erase(0, static_cast<std::size_t>(Sent));
      }
    }
    if (IsClosed) {
      close(Each.Fd);
      Each.Fd = -1;
    }
  }

  Address Local;
  int Listener = -1;
  bool IsSilent = false;
  std::uint64_t Era = 1;
  Copy Now;
  std::vector<std::unique_ptr<Connection>> Connections;
};

// ---------------------------------------------------------------- targets

struct Arrival {
  double At = 0;
  std::string Target, Service;
};

/// A target: accepts flows, works on requests, registers itself in the store.
class Target {
public:
  struct Options {
    std::string Id, Service, Zone;
    Address App, Outbound;
    int Slots = 4;
    double WorkMs = 20, HeartbeatMs = 1200;
  };
  std::function<void(const Flow &)> OnOpened; // took an opening
  std::function<void(const Flow &, const std::string &)> OnRun; // began to work
  std::function<void(const Flow &)> OnHandshake;                // has its end
  std::function<double()> WorkTime; // instead of WorkMs
  std::string State = "ready";

  Target(Options Given, Store &Registry)
      : Set(std::move(Given)), Registry(Registry), Fd(udpSocket(Set.App)),
        Born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {}
  ~Target() { stop(); }
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;

  const Options &options() const { return Set; }
  bool lives() const { return Fd >= 0; }
  std::string key() const { return "servers/" + Set.Id; }

  /// Writes the entry, and returns its revision, or 0 if the store is away.
  /// A heartbeat that only counts `seq` doesn't change the entry.
  std::uint64_t report() {
    NextBeat = nowMs() + Set.HeartbeatMs;
    if (!Registry.isUp()) {
      return 0;
    }
    return Registry.put(
        key(),
        "{\"backend\":\"" + Set.Service + "\",\"addr\":\"" + Set.App.text() +
            "\",\"zone\":\"" + Set.Zone + "\",\"version\":\"v1\",\"slots\":" +
            std::to_string(Set.Slots) + ",\"state\":\"" + State +
            "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + std::to_string(Born) +
            "}");
  }
  /// Ends: flows are discarded.
  void stop() {
    if (Fd >= 0) {
      close(Fd);
      Fd = -1;
    }
  }
  void addPolled(std::vector<pollfd> &To) const {
    if (Fd >= 0) {
      To.push_back({Fd, POLLIN, 0});
    }
  }
  void turn() {
    if (Fd < 0) {
      return;
    }
    std::uint8_t Buffer[2048];
    ssize_t Got;
    while ((Got = recv(Fd, Buffer, sizeof(Buffer), 0)) > 0) {
      Packet In;
      if (Packet::parse(Buffer, static_cast<std::size_t>(Got), In)) {
        take(In);
      }
    }
    answerDue();
    if (nowMs() >= NextBeat) {
      report();
    }
  }

private:
  struct Held {
    std::uint32_t Isn = 0, Next = 0, PeerNext = 0;
    bool IsOpen = false, HasRequest = false, IsDone = false, Closes = false;
    double AnswerAt = 0;
    std::string Id;
    std::vector<std::uint8_t> Sent; // the answer, for retransmission
    double SentAt = 0, Wait = 200;
    int Copies = 0;
    bool IsAcked = false;
  };

  void send(const Flow &To, Held &From, std::uint8_t Flags, std::string Data,
            std::uint32_t Seq) {
    Packet Out;
    Out.Src = To.second.Ip, Out.Sport = To.second.Port;
    Out.Dst = To.first.Ip, Out.Dport = To.first.Port;
    Out.Flags = Flags, Out.Seq = Seq, Out.AckNo = From.PeerNext,
    Out.Data = std::move(Data);
    Out.Sum = Out.expectedSum();
    sendTo(Fd, Set.Outbound, Out.bytes());
    if (!Out.Data.empty()) {
      From.Sent = Out.bytes();
    }
  }

  void take(const Packet &In) {
    const Flow Key = {{In.Src, In.Sport}, {In.Dst, In.Dport}};
    auto Found = Flows.find(Key);
    if (In.has(Syn)) {
      if (Found == Flows.end()) {
        Found = Flows.emplace(Key, Held{}).first;
        Found->second.Isn = 1000U + static_cast<std::uint32_t>(rand());
        Found->second.Next = Found->second.Isn + 1;
        Found->second.PeerNext = In.Seq + 1;
        if (OnOpened) {
          OnOpened(Key);
        }
      }
      send(Key, Found->second, Syn | Ack, "", Found->second.Isn);
      return;
    }
    if (Found == Flows.end() ||
        (!Found->second.IsOpen && In.AckNo != Found->second.Next)) {
      Packet Back = In;
      Back.Flags |= Bounced;
      sendTo(Fd, Set.Outbound, Back.bytes());
      return;
    }
    Held &Each = Found->second;
    if (In.has(Rst)) {
      Flows.erase(Found);
      return;
    }
    if (!Each.IsOpen && OnHandshake) {
      OnHandshake(Key);
    }
    Each.IsOpen = true;
    if (!In.Data.empty() && In.Seq == Each.PeerNext && !Each.HasRequest) {
      Each.PeerNext += static_cast<std::uint32_t>(In.Data.size());
      Each.HasRequest = true;
      Each.Closes = In.Data.find("Connection: close") != std::string::npos;
      const std::string Name = "X-Mulberryhoist-Request-Id: ";
      const auto At = In.Data.find(Name) + Name.size();
      Each.Id = In.Data.substr(At, In.Data.find("\r\n", At) - At);
      Waiting.push_back(Key);
    }
    if (!In.Data.empty()) {
      send(Key, Each, Ack, "", Each.Next);
    }
    if (Each.IsDone && In.AckNo == Each.Next) {
      Each.IsAcked = true;
    }
    if (In.has(Fin) && In.Seq == Each.PeerNext) {
      Each.PeerNext += 1;
      send(Key, Each, Ack, "", Each.Next);
    } else if (In.has(Fin)) {
      send(Key, Each, Ack, "", Each.Next);
    }
  }

  void answerDue() {
    const double Now = nowMs();
    while (!Waiting.empty() && Working < Set.Slots) {
      const Flow Key = Waiting.front();
      Waiting.pop_front();
      const auto Found = Flows.find(Key);
      if (Found == Flows.end()) {
        continue;
      }
      ++Working;
      Found->second.AnswerAt = Now + (WorkTime ? WorkTime() : Set.WorkMs);
      Busy.push_back(Key);
      if (OnRun) {
        OnRun(Key, Found->second.Id);
      }
    }
    std::erase_if(Busy, [&](const Flow &Key) {
      const auto Found = Flows.find(Key);
      if (Found != Flows.end() && Now < Found->second.AnswerAt) {
        return false;
      }
      --Working;
      if (Found != Flows.end()) {
        Held &Each = Found->second;
        const std::string Body = "done by " + Set.Id + " " + Each.Id;
        const std::string Text =
            "HTTP/1.1 200 OK\r\nX-Mulberryhoist-Response-Signature: s-" +
            Each.Id + "\r\nContent-Length: " + std::to_string(Body.size()) +
            "\r\n\r\n" + Body;
        const std::uint8_t End = Each.Closes ? Fin : 0;
        send(Key, Each, Ack | End, Text, Each.Next);
        Each.Next += static_cast<std::uint32_t>(Text.size()) + (End ? 1 : 0);
        Each.HasRequest = false;
        Each.IsDone = true;
        Each.IsAcked = false;
        Each.SentAt = Now;
        Each.Wait = 200;
        Each.Copies = 0;
        std::erase(Unacked, Key);
        Unacked.push_back(Key);
      }
      return true;
    });
    std::erase_if(Unacked, [&](const Flow &Key) {
      const auto Found = Flows.find(Key);
      if (Found == Flows.end() || Found->second.IsAcked ||
          Found->second.Copies >= 8) {
        return true;
      }
      Held &Each = Found->second;
      if (Now - Each.SentAt >= Each.Wait) {
        Each.SentAt = Now, Each.Wait = std::min(1600.0, 2 * Each.Wait),
        ++Each.Copies;
        sendTo(Fd, Set.Outbound, Each.Sent);
      }
      return false;
    });
  }

  Options Set;
  Store &Registry;
  int Fd;
  std::int64_t Born;
  double NextBeat = 0;
  int Working = 0;
  std::map<Flow, Held> Flows;
  std::deque<Flow> Waiting;
  std::vector<Flow> Busy, Unacked;
};

// ---------------------------------------------------------------- clients

struct Attempt {
  std::string Id;
  Flow Key;
  double SentAt = 0, OpenedAt = -1, EndedAt = -1, HandshakeAt = -1;
  std::string Holder;              // the target at which the flow is open
  std::string Outcome = "waiting"; // answered, reset, no flow, deadline
  bool IsTaken = false;
  Arrival Taken; // the first target that took the opening
  std::vector<std::pair<double, std::string>> Runs;
  std::string Path, Body;
  int Left = 0, Number = 0, Answers = 0, InvalidResets = 0;
  bool IsPausing = false;
  std::uint32_t Isn = 0, Next = 0, PeerNext = 0;
  int SynCopies = 0, DataCopies = 0;
  double DataAt = 0, DataWait = 200;
  std::vector<std::uint8_t> Syn0, Data;
  bool IsFinished = false;

  std::string requestId() const {
    return Number == 1 ? Id : Id + "-" + std::to_string(Number);
  }
};

/// Opens a flow for each request, and chooses the edge by a hash like the
/// routers do.
class Client {
public:
  double DeadlineMs = 1200;
  /// How many requests a flow carries, and the pause between them.
  int RequestsPerFlow = 1;
  double PauseMs = 0;
  std::vector<Address> Edges;

  explicit Client(Address Local) : Local(Local), Fd(udpSocket(Local)) {}
  ~Client() { close(Fd); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  Attempt &request(Address Route, const std::string &Path) {
    auto New = std::make_unique<Attempt>();
    Attempt &Each = *New;
    Each.Id = "r" + std::to_string(All.size() + 1);
    Each.Key = {{Local.Ip, NextPort++}, Route};
    Each.Isn = static_cast<std::uint32_t>(rand()) * 2U;
    Each.Next = Each.Isn + 1;
    Each.SentAt = nowMs();
    Packet Out = packet(Each, Syn, "", Each.Isn, 0);
    Each.Syn0 = Out.bytes();
    deliver(Each, Each.Syn0);
    Each.Path = Path;
    Each.Left = RequestsPerFlow;
    Each.Body = nextBody(Each);
    ByKey[Each.Key] = &Each;
    All.push_back(std::move(New));
    return Each;
  }
  /// The text of the flow's next request; the last one closes the flow.
  static std::string nextBody(Attempt &Each) {
    --Each.Left;
    ++Each.Number;
    return "POST " + Each.Path +
           " HTTP/1.1\r\nHost: h\r\nX-Mulberryhoist-Request-Id: " +
           Each.requestId() + "\r\nContent-Length: 0\r\n" +
           (Each.Left == 0 ? "Connection: close\r\n" : "") + "\r\n";
  }
  Attempt *find(const Flow &Key) {
    const auto Found = ByKey.find(Key);
    return Found == ByKey.end() ? nullptr : Found->second;
  }
  const std::vector<std::unique_ptr<Attempt>> &attempts() const { return All; }

  void addPolled(std::vector<pollfd> &To) const {
    To.push_back({Fd, POLLIN, 0});
  }
  void turn() {
    std::uint8_t Buffer[2048];
    ssize_t Got;
    while ((Got = recv(Fd, Buffer, sizeof(Buffer), 0)) > 0) {
      Packet In;
      if (Packet::parse(Buffer, static_cast<std::size_t>(Got), In)) {
        take(In);
      }
    }
    const double Now = nowMs();
    for (std::size_t I = FirstOpen; I < All.size(); ++I) {
      Attempt &Each = *All[I];
      if (Each.IsFinished) {
        if (I == FirstOpen) {
          ++FirstOpen;
        }
        continue;
      }
      tick(Each, Now);
    }
  }

private:
  Packet packet(const Attempt &Each, std::uint8_t Flags, std::string Data,
                std::uint32_t Seq, std::uint32_t AckNo) const {
    Packet Out;
    Out.Src = Each.Key.first.Ip, Out.Sport = Each.Key.first.Port;
    Out.Dst = Each.Key.second.Ip, Out.Dport = Each.Key.second.Port;
    Out.Flags = Flags, Out.Data = std::move(Data), Out.Seq = Seq,
    Out.AckNo = AckNo;
    Out.Sum = Out.expectedSum();
    return Out;
  }
  void deliver(const Attempt &Each,
               const std::vector<std::uint8_t> &Bytes) const {
    const std::size_t Hash = Each.Key.first.Port * 2654435761U >> 7;
    sendTo(Fd, Edges[Hash % Edges.size()], Bytes);
  }
  void end(Attempt &Each, const char *Outcome) {
    Each.Outcome = Outcome, Each.EndedAt = nowMs(), Each.IsFinished = true;
  }
  void take(const Packet &In) {
    Attempt *Found = find({{In.Dst, In.Dport}, {In.Src, In.Sport}});
    if (Found == nullptr || Found->IsFinished) {
      return;
    }
    Attempt &Each = *Found;
    if (In.has(Rst)) {
      // On an open flow, a reset of the system's own has a number within 76,800
      // of the client's last acknowledgment; any other is no reset.
      const auto Distance = static_cast<std::int32_t>(In.Seq - Each.PeerNext);
      if (Each.OpenedAt >= 0 && In.Sum == 0 && std::abs(Distance) > 76800) {
        ++Each.InvalidResets;
        return;
      }
      end(Each, Each.OpenedAt < 0 ? "refused"
                : In.Sum == 0     ? "reset"
                                  : "reset by target");
      return;
    }
    if (In.has(Syn | Ack)) {
      if (Each.OpenedAt < 0 && In.AckNo == Each.Isn + 1) {
        Each.OpenedAt = nowMs();
        Each.PeerNext = In.Seq + 1;
        Each.Data =
            packet(Each, Ack, Each.Body, Each.Next, Each.PeerNext).bytes();
        Each.DataAt = nowMs();
        deliver(Each, Each.Data);
      }
      return;
    }
    if (Each.OpenedAt >= 0 && !In.Data.empty() && In.Seq == Each.PeerNext) {
      Each.PeerNext +=
          static_cast<std::uint32_t>(In.Data.size()) + (In.has(Fin) ? 1 : 0);
      Each.Next += static_cast<std::uint32_t>(Each.Body.size());
      ++Each.Answers;
      const bool IsRight =
          In.Data.find("s-" + Each.requestId() + "\r\n") != std::string::npos;
      const std::uint8_t End = Each.Left == 0 ? Fin : 0;
      deliver(Each,
              packet(Each, Ack | End, "", Each.Next, Each.PeerNext).bytes());
      if (!IsRight || Each.Left == 0) {
        end(Each, IsRight ? "answered" : "foreign answer");
        return;
      }
      Each.IsPausing = true;
      Each.SentAt = nowMs() + PauseMs;
    }
  }
  void tick(Attempt &Each, double Now) {
    if (Each.IsPausing) {
      if (Now >= Each.SentAt) {
        Each.IsPausing = false;
        Each.Body = nextBody(Each);
        Each.Data =
            packet(Each, Ack, Each.Body, Each.Next, Each.PeerNext).bytes();
        Each.DataAt = Now, Each.DataWait = 200;
        deliver(Each, Each.Data);
      }
      return;
    }
    if (Now - Each.SentAt >= DeadlineMs) {
      end(Each, Each.OpenedAt < 0 ? "no flow" : "no answer");
      return;
    }
    if (Each.OpenedAt < 0) {
      if (Now - Each.SentAt >= 1400) {
        end(Each, "no flow");
      } else if ((Each.SynCopies == 0 && Now - Each.SentAt >= 200) ||
                 (Each.SynCopies == 1 && Now - Each.SentAt >= 600)) {
        ++Each.SynCopies;
        deliver(Each, packet(Each, Syn, "", Each.Isn,
                             static_cast<std::uint32_t>(Each.SynCopies))
                          .bytes());
      }
    } else if (Now - Each.DataAt >= Each.DataWait) {
      Each.DataAt = Now, Each.DataWait = std::min(1600.0, 2 * Each.DataWait);
      deliver(Each, Each.Data);
    }
  }

  Address Local;
  int Fd;
  std::uint16_t NextPort = 20000;
  std::size_t FirstOpen = 0;
  std::vector<std::unique_ptr<Attempt>> All;
  std::map<Flow, Attempt *> ByKey;
};

// ---------------------------------------------------------------- processes

/// A process of the project, which ends with the script.
class Process {
public:
  Process(const std::string &Command, const std::string &Settings,
          const std::string &Log) {
    std::vector<std::string> Words;
    std::istringstream Text(Command);
    for (std::string Word; Text >> Word;) {
      Words.push_back(Word);
    }
    std::vector<char *> Arguments;
    for (std::string &Word : Words) {
      Arguments.push_back(Word.data());
    }
    Arguments.push_back(nullptr);
    Id = fork();
    if (Id == 0) {
      const int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      setenv("MULBERRYHOIST_BOOT", Settings.c_str(), 1);
      execv(Arguments[0], Arguments.data());
      _exit(127);
    }
  }
  ~Process() { end(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void signal(int Number) const { kill(Id, Number); }
  bool lives() {
    if (Id > 0 && waitpid(Id, nullptr, WNOHANG) == Id) {
      Id = -1;
    }
    return Id > 0;
  }
  void end() {
    if (Id > 0) {
      kill(Id, SIGKILL);
      waitpid(Id, nullptr, 0);
      Id = -1;
    }
  }

private:
  pid_t Id = -1;
};

/// The `run` line of a role in the deploy file.
inline std::string roleCommand(const std::string &Role) {
  std::ifstream File("deploy/system.toml");
  bool IsHere = false;
  for (std::string Line; std::getline(File, Line);) {
    if (Line.starts_with("[")) {
      IsHere = Line == "[roles." + Role + "]";
    } else if (IsHere && Line.starts_with("run")) {
      const auto From = Line.find('"') + 1;
      return Line.substr(From, Line.find('"', From) - From);
    }
  }
  cannotRun("no role " + Role + " in the deploy file");
}

/// The addresses of one run: a free part of 127.0.0.0/8.
struct Plan {
  std::uint32_t Base = 0;
  std::uint16_t Port = 0;

  static Plan choose() {
    srand(static_cast<unsigned>(getpid()) ^
          static_cast<unsigned>(time(nullptr)));
    for (int Try = 0; Try < 100; ++Try) {
      Plan Next;
      Next.Base =
          (127U << 24) | (static_cast<std::uint32_t>(2 + rand() % 250) << 16);
      Next.Port = static_cast<std::uint16_t>(9000 + rand() % 10000);
      const int Fd = socket(AF_INET, SOCK_DGRAM, 0);
      const sockaddr_in Native = Next.at(4, 1, 0).native();
      const bool IsFree = bind(Fd, reinterpret_cast<const sockaddr *>(&Native),
                               sizeof(Native)) == 0;
      close(Fd);
      if (IsFree) {
        return Next;
      }
    }
    cannotRun("no free addresses");
  }
  Address at(int Group, int Host, int PortOffset) const {
    return {Base | static_cast<std::uint32_t>(Group << 8) |
                static_cast<std::uint32_t>(Host),
            static_cast<std::uint16_t>(Port + PortOffset)};
  }
  // Port offsets: udp_addr 0, ready 1, control 2, outbound 3, app 4, peers 5.
  Address edge(int I, int Offset) const { return at(1, I, Offset); }
  Address side(int I, int Offset) const { return at(2, I, Offset); }
  Address store() const { return at(3, 1, 7); }
  Address client() const { return at(4, 1, 0); }
  Address route(int I) const {
    return {Base | (5U << 8) | static_cast<std::uint32_t>(I), 8080};
  }
};

struct Bounds {
  int StableMs = 4000, DrainMs = 3000, ApplyMs = 3000, SkewMs = 12000,
      EvacuateMs = 0, HeartbeatMs = 1200;
};

/// The store, the targets, the clients and the project's processes.
class Deployment {
public:
  Plan Where;
  Bounds Limits;
  std::string Folder; // temporary
  Record &Out;
  std::unique_ptr<Store> Registry;
  std::vector<std::unique_ptr<Target>> Targets;
  std::unique_ptr<Client> Callers;
  std::vector<std::unique_ptr<Process>> Edges, Sides;
  int EdgeCount = 0;

  Deployment(Bounds Limits, Record &Out, int EdgeCount)
      : Where(Plan::choose()), Limits(Limits), Out(Out), EdgeCount(EdgeCount) {
    char Name[] = "/tmp/mulberry-review-XXXXXX";
    if (mkdtemp(Name) == nullptr) {
      cannotRun("no temporary folder");
    }
    Folder = Name;
    Registry = std::make_unique<Store>(Where.store());
    Callers = std::make_unique<Client>(Where.client());
    for (int I = 1; I <= EdgeCount; ++I) {
      Callers->Edges.push_back(Where.edge(I, 0));
    }
  }
  ~Deployment() {
    Edges.clear();
    Sides.clear();
    if (std::getenv("KEEP") == nullptr) {
      for (const std::string &Each : Files) {
        unlink(Each.c_str());
      }
      rmdir(Folder.c_str());
    }
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Target &addTarget(const std::string &Id, const std::string &Service,
                    const std::string &Zone, int Side, int Slots,
                    double WorkMs) {
    Target::Options Set;
    Set.Id = Id, Set.Service = Service, Set.Zone = Zone;
    Set.App = Where.side(Side, 4), Set.Outbound = Where.side(Side, 3);
    Set.Slots = Slots, Set.WorkMs = WorkMs,
    Set.HeartbeatMs = Limits.HeartbeatMs;
    Targets.push_back(std::make_unique<Target>(Set, *Registry));
    Target &Each = *Targets.back();
    Each.OnOpened = [this, &Each](const Flow &Key) {
      Attempt *Found = Callers->find(Key);
      if (Found != nullptr && !Found->IsTaken) {
        Found->IsTaken = true;
        Found->Taken = {nowMs(), Each.options().Id, Each.options().Service};
      }
    };
    Each.OnRun = [this, &Each](const Flow &Key, const std::string &) {
      if (Attempt *Found = Callers->find(Key)) {
        Found->Runs.emplace_back(nowMs(), Each.options().Id);
      }
    };
    Each.OnHandshake = [this, &Each](const Flow &Key) {
      if (Attempt *Found = Callers->find(Key)) {
        Found->HandshakeAt = nowMs();
        Found->Holder = Each.options().Id;
      }
    };
    return Each;
  }

  void startEdge(int I, const std::string &Zone) {
    const std::string Name = "edge-" + std::to_string(I);
    const std::string File = settings(Name, "edge", Where.edge(I, 0), Zone, "");
    Edges.push_back(
        std::make_unique<Process>(roleCommand("balancer"), File, log(Name)));
  }
  void restartEdge(int I, const std::string &Zone) {
    if (Edges.size() < static_cast<std::size_t>(I)) {
      Edges.resize(static_cast<std::size_t>(I));
    }
    Edges[static_cast<std::size_t>(I - 1)].reset();
    const std::string Name = "edge-" + std::to_string(I);
    Edges[static_cast<std::size_t>(I - 1)] = std::make_unique<Process>(
        roleCommand("balancer"),
        settings(Name, "edge", Where.edge(I, 0), Zone, ""), log(Name));
  }
  void startSide(int I, const std::string &Zone, const std::string &Service) {
    const std::string Name = "side-" + std::to_string(I);
    const std::string File =
        settings(Name, "side", Where.side(I, 0), Zone, Service);
    Sides.push_back(
        std::make_unique<Process>(roleCommand("agent"), File, log(Name)));
  }

  std::uint64_t
  writeConfig(std::uint64_t Version,
              const std::vector<std::pair<int, std::string>> &Routes,
              const std::vector<std::string> &Services, int TimeoutMs = 1200,
              int GoalMs = 200) {
    std::string Text =
        "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
    for (std::size_t I = 0; I < Routes.size(); ++I) {
      const Address To = Where.route(Routes[I].first);
      Text += std::string(I ? "," : "") + "{\"name\":\"r-" +
              std::to_string(Routes[I].first) + "\",\"host\":\"" + To.ip() +
              "\",\"prefix\":\"/" + std::to_string(To.Port) +
              "/\",\"type\":\"unsafe\",\"timeout_ms\":" +
              std::to_string(TimeoutMs) +
              ",\"goal_ms\":" + std::to_string(GoalMs) +
              ",\"priority\":1,\"backend\":\"" + Routes[I].second +
              "\",\"max_attempts\":2}";
    }
    Text += "],\"backends\":[";
    for (std::size_t I = 0; I < Services.size(); ++I) {
      Text += std::string(I ? "," : "") + "{\"name\":\"" + Services[I] +
              "\",\"health_path\":\"/"
              "health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}";
    }
    Text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
            "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    LastConfig = Text;
    return Registry->put("op/config", Text);
  }
  /// The operator writes the newest configuration again.
  std::uint64_t rewriteConfig() {
    return Registry->put("op/config", LastConfig);
  }

  /// Runs the event loop until a time, or until `Done`.
  void runUntil(double Ms, const std::function<bool()> &Done = {}) {
    while (nowMs() < Ms && !(Done && Done())) {
      std::vector<pollfd> Polled;
      Registry->addPolled(Polled);
      Callers->addPolled(Polled);
      for (const auto &Each : Targets) {
        Each->addPolled(Polled);
      }
      poll(Polled.data(), Polled.size(), 2);
      Registry->turn();
      for (const auto &Each : Targets) {
        Each->turn();
      }
      Callers->turn();
      if (Traffic) {
        Traffic();
      }
    }
  }
  void runFor(double Ms) { runUntil(nowMs() + Ms); }

  /// Requests at a steady rate to a route.
  std::function<void()> Traffic;

  /// Whether an edge answers 200 at /ready.
  bool isReady(int I) const {
    {
      const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const timeval Wait{0, 200000};
      setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof(Wait));
      const sockaddr_in Native = Where.edge(I, 1).native();
      char Buffer[64] = {};
      const std::string Text =
          "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
      const bool IsReady =
          connect(Fd, reinterpret_cast<const sockaddr *>(&Native),
                  sizeof(Native)) == 0 &&
          send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL) > 0 &&
          recv(Fd, Buffer, sizeof(Buffer) - 1, 0) > 0 &&
          std::strncmp(Buffer, "HTTP/1.1 200", 12) == 0;
      close(Fd);
      return IsReady;
    }
  }
  bool allReady() const {
    for (int I = 1; I <= EdgeCount; ++I) {
      if (!isReady(I)) {
        return false;
      }
    }
    return true;
  }
  /// The platform's routers: they ask each edge twice a second; after two
  /// misses it is out of rotation until it answers 200. If fewer than half are
  /// in rotation, all are used.
  void route() {
    if (nowMs() < NextProbe) {
      return;
    }
    NextProbe = nowMs() + 500;
    Misses.resize(Edges.size());
    std::vector<Address> In, Every;
    for (std::size_t I = 0; I < Edges.size(); ++I) {
      const int Number = static_cast<int>(I) + 1;
      Misses[I] = isReady(Number) ? 0 : Misses[I] + 1;
      Every.push_back(Where.edge(Number, 0));
      if (Misses[I] < 2) {
        In.push_back(Every.back());
      }
    }
    const auto Next = 2 * In.size() < Every.size() ? Every : In;
    if (Next != Callers->Edges) {
      Callers->Edges = Next;
      Out.line("%zu edges in rotation", Next.size());
    }
  }
  void awaitReady() {
    for (int Try = 0; Try < 50; ++Try) {
      runFor(100);
      if (allReady()) {
        return;
      }
    }
    cannotRun("the edges aren't ready after 5 s");
  }

  std::string log(const std::string &Name) {
    Files.push_back(Folder + "/" + Name + ".log");
    return Files.back();
  }

private:
  double NextProbe = 0;
  std::vector<int> Misses;

  std::string settings(const std::string &Name, const std::string &Class,
                       Address Own, const std::string &Zone,
                       const std::string &Service) {
    const auto At = [&Own](int Offset) {
      return Own.ip() + ":" + std::to_string(Own.Port + Offset);
    };
    std::ostringstream To;
    To << "node = \"" << Name << "\"\nrole = \""
       << (Class == "edge" ? "balancer" : "agent") << "\"\nclass = \"" << Class
       << "\"\nserves = "
       << (Class == "edge" ? "[\"edge\",\"control\"]" : "[\"side\"]")
       << "\nip = \"" << Own.ip() << "\"\nzone = \"" << Zone
       << "\"\nregion = \"r1\"\nport_range = [" << Where.Port + 5 << ","
       << Where.Port + 20 << "]\nseeds = [";
    for (int I = 1; I <= std::min(3, EdgeCount); ++I) {
      To << (I > 1 ? "," : "") << "\"" << Where.edge(I, 2).text() << "\"";
    }
    To << "]\nbootstrap = true\nloss_counts = false\ndiscovery = "
          "\"platform\"\nentry = \"announce\"\nheartbeat_ms = "
       << Limits.HeartbeatMs
       << "\ncontracts = "
          "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\","
          "\"platform\""
       << (Limits.EvacuateMs ? ",\"evacuate\"" : "")
       << "]\nhash = \"mod\"\ndeploy_mode = \"agent\"\n";
    if (Class == "side") {
      To << "app = \"" << At(4) << "\"\nbackend = \"" << Service << "\"\n";
    }
    To << "[zones]\nz1 = \"r1\"\nz2 = \"r1\"\n[listen]\nudp_addr = \"" << At(0)
       << "\"\nready = \"" << At(1) << "\"\n";
    To << (Class == "edge" ? "control = \"" + At(2) : "outbound = \"" + At(3))
       << "\"\n";
    To << "[limits]\ncpu_share = 0.25\ncores = 1\nram_mb = 260\nmax_fds = "
          "4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
       << "[tolerate]\nmachines = 1\nzones = 0\nregions = "
          "0\n[bounds]\nseed_lag_s = 3\nreuse_s = 2\nstable_ms = "
       << Limits.StableMs
       << "\nack_ms = 5000\nsync_s = 4\ndrain_ms = " << Limits.DrainMs
       << "\ngrace_s = 6\nloss_slack_ms = 200\napply_ms = " << Limits.ApplyMs
       << "\nrollback_slack_ms = 250\nskew_max_ms = " << Limits.SkewMs;
    if (Limits.EvacuateMs) {
      To << "\nevacuate_ms = " << Limits.EvacuateMs;
    }
    To << "\nrecovery_s = 12\nreorder_ms = 2000\nflow_ttl_s = "
          "60\n[platform]\naddr = \""
       << Where.store().text()
       << "\"\ndeploy_mode = \"read\"\nwrites_per_s = 400\nreads_per_s = "
          "2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n";
    const std::string Path = Folder + "/" + Name + ".toml";
    std::ofstream(Path) << To.str();
    Files.push_back(Path);
    return Path;
  }

  std::string LastConfig;
  std::vector<std::string> Files;
};

/// Writes what was sent, taken, run and answered.
inline void recordAttempts(const Client &From, Record &Out) {
  for (const auto &Each : From.attempts()) {
    std::string Runs;
    for (const auto &[At, Name] : Each->Runs) {
      char Text[64];
      std::snprintf(Text, sizeof(Text), " run %.3f %s", At / 1000,
                    Name.c_str());
      Runs += Text;
    }
    Out.line(
        "request %s to %s sent %.3f taken %s%s%.3f%s %s", Each->Id.c_str(),
        Each->Key.second.text().c_str(), Each->SentAt / 1000,
        Each->IsTaken ? "by " : "by none ",
        Each->IsTaken ? (Each->Taken.Target + " ").c_str() : "",
        Each->IsTaken ? Each->Taken.At / 1000 : 0.0, Runs.c_str(),
        (Each->Outcome + " " + std::to_string(Each->EndedAt / 1000)).c_str());
  }
}

/// Runs a case: 1 if it returns true (the rule was broken), 0 if not, 2 if it
/// couldn't run.
inline int runCase(const char *RecordPath, bool (*Body)(Record &, bool)) {
  std::signal(SIGPIPE, SIG_IGN);
  origin();
  const char *Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  try {
    Record Out(RecordPath);
    try {
      const bool IsBroken = Body(Out, HasTrouble);
      Out.line("%s", IsBroken ? "RESULT: the rule was broken"
                              : "RESULT: the rule held");
      return IsBroken ? 1 : 0;
    } catch (const std::exception &Problem) {
      Out.line("RESULT: could not run: %s", Problem.what());
      return 2;
    }
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "%s\n", Problem.what());
    return 2;
  }
}

} // namespace rig
