// Stand-ins for the cases 6 to 10: the platform's store, settings files and
// process control, targets, clients and routers, on loopback addresses and the
// real clock. They follow the users' pages; nothing of the project is used but
// its two programs.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The figures of a small deployment (settings of cahaya-booths).
constexpr int StableMs = 4000;
constexpr int DrainMs = 3000;
constexpr int ApplyMs = 3000;
constexpr int SkewMaxMs = 12000;
constexpr int HeartbeatMs = 1200;
constexpr int ReuseMs = 2000;

constexpr std::uint16_t PacketPort = 8172, ReadyPort = 8167, ControlPort = 8166,
                        PeerPort = 7720, AppPort = 8165, OutboundPort = 8162,
                        StorePort = 8169;

constexpr int ExitHeld = 0, ExitBroken = 1, ExitCouldNotRun = 2;

inline const Clock::time_point Begin = Clock::now();
inline double sinceBegin() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Begin).count();
}
inline std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleepMs(int Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }
inline void sleepUntilMs(double At) {
  const double Left = At - sinceBegin();
  if (Left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Left));
  }
}

// What was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void add(const std::string &Text) {
    const std::lock_guard Guard(this->Lock);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%10.1f ", sinceBegin());
    this->File << Time << Text << '\n' << std::flush;
  }

private:
  std::mutex Lock;
  std::ofstream File;
};

[[noreturn]] inline void couldNotRun(const std::string &Why) {
  std::fprintf(stderr, "could not run: %s\n", Why.c_str());
  std::exit(ExitCouldNotRun);
}

inline std::string ipText(std::uint32_t Ip) {
  const in_addr Address{htonl(Ip)};
  char Text[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &Address, Text, sizeof Text);
}
inline std::uint32_t ipOf(const std::string &Text) {
  in_addr Address{};
  inet_pton(AF_INET, Text.c_str(), &Address);
  return ntohl(Address.s_addr);
}
inline sockaddr_in socketAddress(std::uint32_t Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Ip);
  Address.sin_port = htons(Port);
  return Address;
}
inline int udpSocket(std::uint32_t Ip, std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0) {
    close(Socket);
    return -1;
  }
  int Bytes = 4 << 20;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  return Socket;
}
inline int tcpListener(std::uint32_t Ip, std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0 ||
      listen(Socket, 64) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

// Finds a loopback network 127.a.b.0/24 whose ports are free.
inline std::uint32_t freeNetwork() {
  std::mt19937 Random(std::random_device{}());
  for (int Try = 0; Try < 100; ++Try) {
    const std::uint32_t Network =
        0x7F000000U | ((32U + Random() % 200U) << 16U) | ((Random() % 250U) << 8U);
    const int Udp = udpSocket(Network + 1, PacketPort);
    const int Tcp = tcpListener(Network + 250, StorePort);
    if (Udp >= 0) {
      close(Udp);
    }
    if (Tcp >= 0) {
      close(Tcp);
    }
    if (Udp >= 0 && Tcp >= 0) {
      return Network;
    }
  }
  couldNotRun("no free loopback network");
}

// ---------------------------------------------------------------- packets

constexpr std::uint8_t Syn = 16, Ack = 32, Fin = 2, Rst = 4, Bounced = 64;
constexpr std::size_t HeadBytes = 32;

struct Packet {
  std::uint32_t Seq = 0, AckNo = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Dst = 0, Src = 0;
  std::uint16_t DPort = 0, SPort = 0;
  std::string Data;

  bool has(std::uint8_t Bit) const { return (this->Flags & Bit) != 0; }
};

using Bytes = std::vector<std::uint8_t>;

inline void put32(Bytes &To, std::size_t At, std::uint32_t Value) {
  for (int I = 0; I < 4; ++I) {
    To[At + I] = static_cast<std::uint8_t>(Value >> (24 - 8 * I));
  }
}
inline void put16(Bytes &To, std::size_t At, std::uint16_t Value) {
  To[At] = static_cast<std::uint8_t>(Value >> 8);
  To[At + 1] = static_cast<std::uint8_t>(Value);
}
inline std::uint32_t get32(const Bytes &From, std::size_t At) {
  return std::uint32_t{From[At]} << 24 | std::uint32_t{From[At + 1]} << 16 |
         std::uint32_t{From[At + 2]} << 8 | From[At + 3];
}
inline std::uint16_t get16(const Bytes &From, std::size_t At) {
  return static_cast<std::uint16_t>(From[At] << 8 | From[At + 1]);
}
// The sum over all fields but `echo`, `pad` and BOUNCED, with a key of the
// stand-ins.
inline std::uint32_t keyedSum(const Bytes &Of) {
  std::uint32_t Hash = 0x9E3779B9U;
  for (std::size_t I = 0; I < Of.size(); ++I) {
    const bool IsLeftOut = I == 9 || (I >= 12 && I < 16) || (I >= 28 && I < 32);
    const std::uint8_t Byte =
        IsLeftOut ? 0 : I == 8 ? Of[I] & std::uint8_t(~Bounced) : Of[I];
    Hash = (Hash ^ Byte) * 16777619U;
  }
  return Hash == 0 ? 1 : Hash;
}
inline Bytes encode(const Packet &From) {
  Bytes To(HeadBytes + From.Data.size(), 0);
  put32(To, 0, From.Seq);
  put32(To, 4, From.AckNo);
  To[8] = From.Flags;
  put16(To, 10, static_cast<std::uint16_t>(From.Data.size()));
  put32(To, 16, From.Dst);
  put16(To, 20, From.DPort);
  put16(To, 22, From.SPort);
  put32(To, 24, From.Src);
  std::copy(From.Data.begin(), From.Data.end(), To.begin() + HeadBytes);
  put32(To, 12, keyedSum(To));
  return To;
}
inline bool decode(const Bytes &From, Packet &To) {
  if (From.size() < HeadBytes || get16(From, 10) != From.size() - HeadBytes) {
    return false;
  }
  To.Seq = get32(From, 0);
  To.AckNo = get32(From, 4);
  To.Flags = From[8];
  To.Dst = get32(From, 16);
  To.DPort = get16(From, 20);
  To.SPort = get16(From, 22);
  To.Src = get32(From, 24);
  To.Data.assign(From.begin() + HeadBytes, From.end());
  return true;
}
inline bool hasValidSum(const Bytes &From) {
  return get32(From, 12) == keyedSum(From);
}

// ------------------------------------------------------------------ store

inline std::string base64(const std::string &From) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string To;
  for (std::size_t I = 0; I < From.size(); I += 3) {
    std::uint32_t Group = 0;
    const std::size_t Left = std::min<std::size_t>(3, From.size() - I);
    for (std::size_t J = 0; J < 3; ++J) {
      Group = Group << 8 |
              (J < Left ? static_cast<std::uint8_t>(From[I + J]) : 0U);
    }
    for (std::size_t J = 0; J < 4; ++J) {
      To += J <= Left ? Digits[Group >> (18 - 6 * J) & 63] : '=';
    }
  }
  return To;
}
inline std::string percentDecode(const std::string &From) {
  std::string To;
  for (std::size_t I = 0; I < From.size(); ++I) {
    if (From[I] == '%' && I + 2 < From.size()) {
      To += static_cast<char>(std::stoi(From.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      To += From[I];
    }
  }
  return To;
}

// The platform's metadata store; it can serve at more than one address.
class Store {
public:
  ~Store() {
    this->Stopping = true;
    this->Changed.notify_all();
    std::vector<std::uint32_t> All;
    {
      const std::lock_guard Guard(this->Lock);
      for (const auto &[Ip, Each] : this->Listeners) {
        All.push_back(Ip);
      }
    }
    for (const std::uint32_t Ip : All) {
      this->closeAt(Ip);
    }
    for (std::thread &Each : this->Threads) {
      Each.join();
    }
  }

  void serveAt(std::uint32_t Ip) {
    const int Socket = tcpListener(Ip, StorePort);
    if (Socket < 0) {
      couldNotRun("store address in use");
    }
    const std::lock_guard Guard(this->Lock);
    this->Listeners[Ip] = Socket;
    this->Threads.emplace_back([this, Ip, Socket] { this->accept(Ip, Socket); });
  }

  // Closes the address and all connections there.
  void closeAt(std::uint32_t Ip) {
    const std::lock_guard Guard(this->Lock);
    const auto Found = this->Listeners.find(Ip);
    if (Found == this->Listeners.end()) {
      return;
    }
    shutdown(Found->second, SHUT_RDWR);
    this->Listeners.erase(Found);
    for (const auto &[Socket, At] : this->Connections) {
      if (At == Ip) {
        shutdown(Socket, SHUT_RDWR);
      }
    }
    this->Changed.notify_all();
  }

  // Writes an item; returning is the acknowledgement.
  std::uint64_t put(const std::string &Key, const std::string &Value) {
    const std::lock_guard Guard(this->Lock);
    const auto Found = this->Items.find(Key);
    const std::uint64_t Created =
        Found == this->Items.end() ? this->Revision + 1 : Found->second.Created;
    ++this->Revision;
    const Item Next{Key, Value, this->Revision, Created, false};
    this->Items[Key] = Next;
    this->History.push_back(Next);
    this->Changed.notify_all();
    return this->Revision;
  }
  void remove(const std::string &Key) {
    const std::lock_guard Guard(this->Lock);
    if (this->Items.erase(Key) != 0) {
      ++this->Revision;
      this->History.push_back({Key, "", this->Revision, 0, true});
      this->Changed.notify_all();
    }
  }

private:
  struct Item {
    std::string Key, Value;
    std::uint64_t Revision = 0, Created = 0;
    bool Removed = false;
  };

  static std::string json(const Item &Each) {
    if (Each.Removed) {
      return "{\"key\":\"" + Each.Key +
             "\",\"revision\":" + std::to_string(Each.Revision) +
             ",\"deleted\":true}";
    }
    return "{\"key\":\"" + Each.Key + "\",\"value\":\"" + base64(Each.Value) +
           "\",\"revision\":" + std::to_string(Each.Revision) +
           ",\"create_rev\":" + std::to_string(Each.Created) + ",\"lease\":0}";
  }

  void accept(std::uint32_t Ip, int Listener) {
    while (!this->Stopping) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0) {
        break;
      }
      const std::lock_guard Guard(this->Lock);
      this->Connections[Socket] = Ip;
      this->Threads.emplace_back([this, Socket] { this->serve(Socket); });
    }
    close(Listener);
  }

  void serve(int Socket) {
    std::string Buffer;
    char Chunk[4096];
    while (!this->Stopping) {
      const auto End = Buffer.find("\r\n\r\n");
      if (End == std::string::npos) {
        const ssize_t Got = recv(Socket, Chunk, sizeof Chunk, 0);
        if (Got <= 0) {
          break;
        }
        Buffer.append(Chunk, static_cast<std::size_t>(Got));
        continue;
      }
      const std::string Line = Buffer.substr(0, Buffer.find("\r\n"));
      Buffer.erase(0, End + 4);
      const auto From = Line.find(' ');
      const auto To = Line.find(' ', From + 1);
      int Status = 200;
      const std::string Body =
          this->answer(Line.substr(From + 1, To - From - 1), Status);
      std::this_thread::sleep_for(milliseconds(4));
      const std::string Text =
          "HTTP/1.1 " + std::to_string(Status) +
          (Status == 200 ? " OK" : " Other") +
          "\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body;
      if (send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) !=
          static_cast<ssize_t>(Text.size())) {
        break;
      }
    }
    const std::lock_guard Guard(this->Lock);
    this->Connections.erase(Socket);
    close(Socket);
  }

  std::string answer(const std::string &Target, int &Status) {
    const auto Mark = Target.find('?');
    const std::string Path = Target.substr(0, Mark);
    std::map<std::string, std::string> Query;
    if (Mark != std::string::npos) {
      std::stringstream Rest(Target.substr(Mark + 1));
      for (std::string Each; std::getline(Rest, Each, '&');) {
        const auto Equals = Each.find('=');
        Query[Each.substr(0, Equals)] =
            Equals == std::string::npos ? ""
                                        : percentDecode(Each.substr(Equals + 1));
      }
    }
    std::unique_lock Guard(this->Lock);
    const std::string Prefix = Query["prefix"];
    if (Path == "/kv-key") {
      const auto Found = this->Items.find(Query["key"]);
      if (Found == this->Items.end()) {
        Status = 404;
        return "{\"as_of\":" + std::to_string(this->Revision) + "}";
      }
      std::string Body = json(Found->second);
      Body.back() = ',';
      return Body + "\"as_of\":" + std::to_string(this->Revision) + "}";
    }
    if (Path == "/kv-range") {
      constexpr std::size_t PageSize = 500;
      std::string List;
      std::size_t Count = 0;
      bool Truncated = false;
      for (auto Each = this->Items.lower_bound(Prefix);
           Each != this->Items.end() && Each->first.starts_with(Prefix); ++Each) {
        if (!Query["after"].empty() && Each->first <= Query["after"]) {
          continue;
        }
        if (Count++ == PageSize) {
          Truncated = true;
          break;
        }
        List += (List.empty() ? "" : ",") + json(Each->second);
      }
      return "{\"items\":[" + List +
             "],\"truncated\":" + (Truncated ? "true" : "false") +
             ",\"as_of\":" + std::to_string(this->Revision) + "}";
    }
    if (Path == "/kv-watch") {
      const std::uint64_t After = std::stoull("0" + Query["after"]);
      const int Wait = std::stoi("0" + Query["wait_ms"]);
      const auto IsDue = [&](const Item &Each) {
        return Each.Revision > After && Each.Key.starts_with(Prefix);
      };
      this->Changed.wait_for(Guard, milliseconds(Wait), [&] {
        return this->Stopping ||
               std::any_of(this->History.rbegin(), this->History.rend(), IsDue);
      });
      std::string List;
      for (const Item &Each : this->History) {
        if (IsDue(Each)) {
          List += (List.empty() ? "" : ",") + json(Each);
        }
      }
      return "{\"events\":[" + List +
             "],\"as_of\":" + std::to_string(this->Revision) + "}";
    }
    Status = 404;
    return "{}";
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Item> History;
  std::uint64_t Revision = 10;
  std::map<std::uint32_t, int> Listeners;
  std::map<int, std::uint32_t> Connections;
  std::list<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

// -------------------------------------------------------------- processes

// The words of a role's `run` in the deploy file.
inline std::string commandOf(const std::string &Role) {
  std::ifstream File("deploy/system.toml");
  bool InRole = false;
  for (std::string Line; std::getline(File, Line);) {
    if (Line.starts_with("[")) {
      InRole = Line == "[roles." + Role + "]";
    } else if (InRole && Line.starts_with("run")) {
      const auto First = Line.find('"');
      return Line.substr(First + 1, Line.rfind('"') - First - 1);
    }
  }
  couldNotRun("deploy/system.toml has no role " + Role);
}

// A machine of the system: its settings file and the process on it.
class Machine {
public:
  Machine(std::string Node, std::uint32_t Ip, bool IsEdge, std::string Zone,
          std::filesystem::path Folder)
      : Node(std::move(Node)), Ip(Ip), IsEdge(IsEdge), Zone(std::move(Zone)),
        Folder(std::move(Folder)) {}
  Machine(const Machine &) = delete;
  ~Machine() { this->killNow(); }

  std::string Node;
  std::uint32_t Ip;
  bool IsEdge;
  std::string Zone;
  std::uint32_t StoreIp = 0;
  std::vector<std::uint32_t> Seeds;
  std::string Backend;
  std::string ExtraBounds;
  // Where the process writes its log; a file in the folder if it is not set.
  int LogTo = -1;

  // Places the settings file, in one step.
  void writeSettings() const {
    const std::string Host = ipText(this->Ip);
    std::ostringstream Text;
    Text << "node = \"" << this->Node << "\"\nrole = \""
         << (this->IsEdge ? "balancer" : "agent") << "\"\nclass = \""
         << (this->IsEdge ? "edge" : "side") << "\"\nserves = ["
         << (this->IsEdge ? "\"edge\",\"control\"" : "\"side\"") << "]\nip = \""
         << Host << "\"\nzone = \"" << this->Zone
         << "\"\nregion = \"r1\"\nport_range = [" << PeerPort << ','
         << PeerPort + 15 << "]\nseeds = [";
    for (std::size_t I = 0; I < this->Seeds.size(); ++I) {
      Text << (I == 0 ? "" : ",") << '"' << ipText(this->Seeds[I]) << ':'
           << ControlPort << '"';
    }
    Text << "]\nbootstrap = true\nloss_counts = false\ndiscovery = "
            "\"platform\"\nentry = \"announce\"\nheartbeat_ms = "
         << HeartbeatMs
         << "\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
            "\"flows\",\"platform\"]\nhash = \"mod\"\ndeploy_mode = \"agent\"\n";
    if (!this->IsEdge) {
      Text << "backend = \"" << this->Backend << "\"\napp = \"" << Host << ':'
           << AppPort << "\"\n";
    }
    Text << "[zones]\nz1 = \"r1\"\nz2 = \"r1\"\n[listen]\nudp_addr = \"" << Host
         << ':' << PacketPort << "\"\nready = \"" << Host << ':' << ReadyPort
         << "\"\n";
    if (this->IsEdge) {
      Text << "control = \"" << Host << ':' << ControlPort << "\"\n";
    } else {
      Text << "outbound = \"" << Host << ':' << OutboundPort << "\"\n";
    }
    Text << "[limits]\ncpu_share = 0.25\ncores = 1\nram_mb = 260\nmax_fds = "
            "4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[tolerate]\nmachines = "
            "1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_s = "
            "2\nstable_ms = 4000\nack_ms = 5000\nsync_s = 4\ndrain_ms = "
            "3000\ngrace_s = 6\nloss_slack_ms = 200\napply_ms = "
            "3000\nrollback_slack_ms = 250\nskew_max_ms = 12000\nrecovery_s = "
            "12\nreorder_ms = 2000\nflow_ttl_s = 60\n"
         << this->ExtraBounds << "[platform]\naddr = \""
         << ipText(this->StoreIp) << ':' << StorePort
         << "\"\ndeploy_mode = \"read\"\nwrites_per_s = 400\nreads_per_s = "
            "2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n";
    const std::filesystem::path Next = this->settingsPath().string() + ".new";
    std::ofstream(Next) << Text.str();
    std::filesystem::rename(Next, this->settingsPath());
  }

  void start() {
    this->writeSettings();
    std::vector<std::string> Words;
    std::stringstream Command(commandOf(this->IsEdge ? "balancer" : "agent"));
    for (std::string Word; Command >> Word;) {
      Words.push_back(Word);
    }
    const std::string Variable =
        "MULBERRYHOIST_BOOT=" + this->settingsPath().string();
    const std::string Log = (this->Folder / (this->Node + ".log")).string();
    const pid_t Parent = getpid();
    this->Pid = fork();
    if (this->Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != Parent) {
        _exit(127);
      }
      const int Out = this->LogTo >= 0 ? this->LogTo
                                       : open(Log.c_str(),
                                              O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      std::vector<char *> Arguments;
      for (std::string &Word : Words) {
        Arguments.push_back(Word.data());
      }
      Arguments.push_back(nullptr);
      char Path[] = "PATH=/usr/bin:/bin";
      std::string Own = Variable;
      char *Environment[] = {Path, Own.data(), nullptr};
      execve(Arguments[0], Arguments.data(), Environment);
      _exit(127);
    }
  }

  void signal(int Number) const {
    if (this->Pid > 0) {
      kill(this->Pid, Number);
    }
  }
  // Returns whether the process has ended.
  bool hasEnded() {
    if (this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid) {
      this->Pid = 0;
    }
    return this->Pid == 0;
  }
  void killNow() {
    if (this->Pid > 0) {
      kill(this->Pid, SIGCONT);
      kill(this->Pid, SIGKILL);
      waitpid(this->Pid, nullptr, 0);
      this->Pid = 0;
    }
  }
  // SIGTERM, and SIGKILL after the grace time.
  void stop() {
    this->signal(SIGTERM);
    for (int I = 0; I < 600 && !this->hasEnded(); ++I) {
      sleepMs(10);
    }
    this->killNow();
  }
  bool isReady() const {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval Limit{0, 400000};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    const sockaddr_in To = socketAddress(this->Ip, ReadyPort);
    bool IsOk = false;
    if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) ==
        0) {
      const char Ask[] = "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: "
                         "close\r\n\r\n";
      char Reply[64] = {};
      IsOk = send(Socket, Ask, sizeof Ask - 1, MSG_NOSIGNAL) > 0 &&
             recv(Socket, Reply, sizeof Reply - 1, 0) > 12 &&
             std::strncmp(Reply + 9, "200", 3) == 0;
    }
    close(Socket);
    return IsOk;
  }

private:
  std::filesystem::path settingsPath() const {
    return this->Folder / (this->Node + ".toml");
  }

  std::filesystem::path Folder;
  pid_t Pid = 0;
};

// ---------------------------------------------------------------- targets

struct FlowId {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  std::uint32_t RouteIp = 0;
  std::uint16_t RoutePort = 0;
  auto operator<=>(const FlowId &) const = default;
  std::string text() const {
    return ipText(this->Ip) + ":" + std::to_string(this->Port) + ">" +
           ipText(this->RouteIp) + ":" + std::to_string(this->RoutePort);
  }
};

struct Run {
  std::string Target, Service, Request;
  FlowId Flow;
  double At = 0;
};

// An application target: it accepts flows, runs one request at a time in each
// and returns packets that it does not hold.
class Target {
public:
  struct Options {
    std::string Name, Service;
    std::uint32_t Ip = 0;
    unsigned Slots = 4, Queue = 16;
    int WorkMs = 30;
    // Work of a single request; `WorkMs` if it is empty.
    std::function<int(const std::string &Request)> Work;
  };

  Target(Options Own, Record &Log) : Own(std::move(Own)), Log(Log) {
    this->Socket = udpSocket(this->Own.Ip, AppPort);
    if (this->Socket < 0) {
      couldNotRun("address of a target in use");
    }
    this->BornMs = unixMs();
    this->Thread = std::thread([this] { this->serve(); });
  }
  ~Target() { this->crash(); }

  // Ends at once; nothing answers at the address any more.
  void crash() {
    if (!this->Stopping.exchange(true)) {
      this->Thread.join();
      ::close(this->Socket);
    }
  }

  std::string entry(const std::string &State, int ColdLeftMs = 0) {
    return "{\"backend\":\"" + this->Own.Service + "\",\"addr\":\"" +
           ipText(this->Own.Ip) + ":" + std::to_string(AppPort) +
           "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" +
           std::to_string(this->Own.Slots) + ",\"state\":\"" + State +
           "\",\"cold_left_ms\":" + std::to_string(ColdLeftMs) +
           ",\"seq\":" + std::to_string(++this->EntrySeq) +
           ",\"born\":" + std::to_string(this->BornMs) + "}";
  }
  std::string key() const { return "servers/" + this->Own.Name; }

  std::vector<Run> runs() {
    const std::lock_guard Guard(this->Lock);
    return this->Runs;
  }
  struct Opening {
    FlowId Flow;
    double At = 0;
  };
  // The openings that the target took, copies left out.
  std::vector<Opening> openings() {
    const std::lock_guard Guard(this->Lock);
    return this->Openings;
  }
  struct OpenFlow {
    double OpenedAt = 0, ClosedAt = 0;
  };
  // When flows were opened and closed here; `ClosedAt` is 0 while one is open.
  std::map<FlowId, OpenFlow> flowTimes() {
    const std::lock_guard Guard(this->Lock);
    return this->Times;
  }
  // How many packets of each flow came that the target does not hold.
  std::map<FlowId, std::vector<double>> foreignPackets() {
    const std::lock_guard Guard(this->Lock);
    return this->Foreign;
  }
  const Options &options() const { return this->Own; }

private:
  struct Flow {
    std::uint32_t Initial = 0, Own = 0;
    std::uint32_t Received = 0, Sent = 0, Acknowledged = 0;
    bool IsOpen = false, IsEnded = false, IsBusy = false;
    std::string Unacked;
    std::uint32_t UnackedSeq = 0;
    Clock::time_point ResendAt;
    int Resends = 0;
  };
  struct Job {
    FlowId Id;
    std::string Request;
    Clock::time_point DoneAt;
  };

  void serve() {
    Bytes Buffer;
    while (!this->Stopping) {
      pollfd Entry{this->Socket, POLLIN, 0};
      poll(&Entry, 1, 1);
      for (int I = 0; I < 256; ++I) {
        Buffer.resize(2048);
        const ssize_t Got =
            recv(this->Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
        if (Got < 0) {
          break;
        }
        Buffer.resize(static_cast<std::size_t>(Got));
        const std::lock_guard Guard(this->Lock);
        this->take(Buffer);
      }
      const std::lock_guard Guard(this->Lock);
      this->work();
    }
  }

  void reply(const FlowId &Id, std::uint8_t Flags, std::uint32_t Seq,
             std::uint32_t AckNo, std::string Data = {}) {
    Packet Out;
    Out.Flags = Flags;
    Out.Seq = Seq;
    Out.AckNo = AckNo;
    Out.Src = Id.RouteIp;
    Out.SPort = Id.RoutePort;
    Out.Dst = Id.Ip;
    Out.DPort = Id.Port;
    Out.Data = std::move(Data);
    this->transmit(encode(Out));
  }
  void transmit(const Bytes &Out) {
    const sockaddr_in To = socketAddress(this->Own.Ip, OutboundPort);
    sendto(this->Socket, Out.data(), Out.size(), 0,
           reinterpret_cast<const sockaddr *>(&To), sizeof To);
  }
  void giveBack(Bytes Out) {
    Out[8] |= Bounced;
    Out[9] = 0;
    this->transmit(Out);
  }

  void take(const Bytes &In) {
    Packet P;
    if (!decode(In, P)) {
      this->Log.add("UNASKED: malformed packet at " + this->Own.Name);
      return;
    }
    if (!hasValidSum(In)) {
      this->Log.add("UNASKED: packet with a wrong sum at " + this->Own.Name);
      return;
    }
    const FlowId Id{P.Src, P.SPort, P.Dst, P.DPort};
    const auto Found = this->Flows.find(Id);
    if (P.has(Syn)) {
      if (Found != this->Flows.end() && Found->second.Initial == P.Seq) {
        if (!Found->second.IsOpen) {
          this->reply(Id, Syn | Ack, Found->second.Own, P.Seq + 1);
        } else {
          this->reply(Id, Ack, Found->second.Sent, Found->second.Received);
        }
        return;
      }
      if (this->Active + this->Waiting.size() >=
          this->Own.Slots + this->Own.Queue) {
        this->giveBack(In);
        return;
      }
      Flow &Each = this->Flows[Id];
      Each = Flow();
      Each.Initial = P.Seq;
      Each.Own = static_cast<std::uint32_t>(this->Random());
      Each.Received = P.Seq + 1;
      Each.Sent = Each.Acknowledged = Each.Own + 1;
      this->Openings.push_back({Id, sinceBegin()});
      this->reply(Id, Syn | Ack, Each.Own, P.Seq + 1);
      return;
    }
    if (Found == this->Flows.end() ||
        (!Found->second.IsOpen && P.AckNo != Found->second.Own + 1)) {
      this->Foreign[Id].push_back(sinceBegin());
      this->giveBack(In);
      return;
    }
    this->onFlowPacket(Id, Found->second, P);
  }

  void onFlowPacket(const FlowId &Id, Flow &Each, const Packet &P) {
    if (P.has(Rst)) {
      this->close(Id);
      this->Flows.erase(Id);
      return;
    }
    if (Each.IsEnded) {
      this->reply(Id, P.Data.empty() ? Ack : std::uint8_t(Rst | Ack), Each.Sent,
                  Each.Received);
      return;
    }
    if (!Each.IsOpen) {
      Each.IsOpen = true;
      this->Times[Id].OpenedAt = sinceBegin();
    }
    if (static_cast<std::int32_t>(P.AckNo - Each.Acknowledged) > 0) {
      Each.Acknowledged = P.AckNo;
      if (static_cast<std::int32_t>(P.AckNo - Each.UnackedSeq) > 0) {
        Each.Unacked.clear();
      }
    }
    if (!P.Data.empty() && P.Seq == Each.Received) {
      Each.Received += static_cast<std::uint32_t>(P.Data.size());
      this->Waiting.push_back({Id, P.Data, {}});
      Each.IsBusy = true;
    }
    if (P.has(Fin) &&
        P.Seq + static_cast<std::uint32_t>(P.Data.size()) == Each.Received) {
      ++Each.Received;
      Each.IsEnded = true;
      this->reply(Id, Fin | Ack, Each.Sent, Each.Received);
      ++Each.Sent;
      this->close(Id);
      return;
    }
    if (!P.Data.empty()) {
      this->reply(Id, Ack, Each.Sent, Each.Received);
    }
  }

  void close(const FlowId &Id) {
    const auto Found = this->Times.find(Id);
    if (Found != this->Times.end() && Found->second.ClosedAt == 0) {
      Found->second.ClosedAt = sinceBegin();
    }
  }

  // Begins and ends work, and sends again what was not acknowledged.
  void work() {
    const auto Now = Clock::now();
    for (auto Each = this->Running.begin(); Each != this->Running.end();) {
      if (Now < Each->DoneAt) {
        ++Each;
        continue;
      }
      const auto Found = this->Flows.find(Each->Id);
      if (Found != this->Flows.end()) {
        Flow &Of = Found->second;
        Of.IsBusy = false;
        Of.Unacked = "HTTP/1.1 200 OK\r\nX-Mulberryhoist-Response-Signature: " +
                     this->Own.Service + "/" + this->Own.Name +
                     "\r\nContent-Length: 0\r\nX-Request: " + Each->Request +
                     "\r\n\r\n";
        Of.UnackedSeq = Of.Sent;
        Of.Sent += static_cast<std::uint32_t>(Of.Unacked.size());
        Of.Resends = 0;
        Of.ResendAt = Now + milliseconds(200);
        this->reply(Each->Id, Ack, Of.UnackedSeq, Of.Received, Of.Unacked);
      }
      Each = this->Running.erase(Each);
      --this->Active;
    }
    while (this->Active < this->Own.Slots && !this->Waiting.empty()) {
      Job Next = std::move(this->Waiting.front());
      this->Waiting.pop_front();
      const auto From = Next.Request.find("X-Mulberryhoist-Request-Id: ");
      Next.Request = From == std::string::npos
                         ? "?"
                         : Next.Request.substr(From + 28,
                                               Next.Request.find('\r', From) -
                                                   From - 28);
      Next.DoneAt =
          Now + milliseconds(this->Own.Work ? this->Own.Work(Next.Request)
                                            : this->Own.WorkMs);
      this->Runs.push_back({this->Own.Name, this->Own.Service, Next.Request,
                            Next.Id, sinceBegin()});
      this->Log.add("run " + Next.Request + " by " + this->Own.Service + "/" +
                    this->Own.Name + " flow " + Next.Id.text());
      this->Running.push_back(std::move(Next));
      ++this->Active;
    }
    for (auto &[Id, Each] : this->Flows) {
      if (!Each.Unacked.empty() && Now >= Each.ResendAt && Each.Resends < 8) {
        ++Each.Resends;
        Each.ResendAt =
            Now + milliseconds(std::min(1600, 200 << std::min(Each.Resends, 3)));
        this->reply(Id, Ack, Each.UnackedSeq, Each.Received, Each.Unacked);
      }
    }
  }

  Options Own;
  Record &Log;
  int Socket = -1;
  std::int64_t BornMs = 0;
  std::uint64_t EntrySeq = 0;
  std::mutex Lock;
  std::map<FlowId, Flow> Flows;
  std::deque<Job> Waiting;
  std::list<Job> Running;
  unsigned Active = 0;
  std::vector<Run> Runs;
  std::vector<Opening> Openings;
  std::map<FlowId, OpenFlow> Times;
  std::map<FlowId, std::vector<double>> Foreign;
  std::mt19937 Random{std::random_device{}()};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

// ------------------------------------------------- routers and clients

// The platform's routers: they ask balancers twice a second whether they are
// ready, and pick one by a hash of the flow over those in rotation.
class Routers {
public:
  explicit Routers(std::vector<Machine *> Balancers)
      : Balancers(std::move(Balancers)), Misses(this->Balancers.size(), 2) {
    this->Thread = std::thread([this] { this->probe(); });
  }
  ~Routers() {
    this->Stopping = true;
    this->Thread.join();
  }
  std::uint32_t pick(const FlowId &Flow) {
    const std::lock_guard Guard(this->Lock);
    std::vector<std::uint32_t> In;
    for (std::size_t I = 0; I < this->Balancers.size(); ++I) {
      if (this->Misses[I] < 2) {
        In.push_back(this->Balancers[I]->Ip);
      }
    }
    if (In.size() * 2 < this->Balancers.size()) {
      In.clear();
      for (const Machine *Each : this->Balancers) {
        In.push_back(Each->Ip);
      }
    }
    std::uint64_t Hash = 1469598103934665603ULL;
    for (const std::uint64_t Part :
         {std::uint64_t{Flow.Ip}, std::uint64_t{Flow.Port},
          std::uint64_t{Flow.RouteIp}, std::uint64_t{Flow.RoutePort}}) {
      Hash = (Hash ^ Part) * 1099511628211ULL;
    }
    return In[(Hash >> 17) % In.size()];
  }
  bool areAllIn() {
    const std::lock_guard Guard(this->Lock);
    return std::all_of(this->Misses.begin(), this->Misses.end(),
                       [](int Each) { return Each < 2; });
  }

private:
  void probe() {
    while (!this->Stopping) {
      for (std::size_t I = 0; I < this->Balancers.size(); ++I) {
        const bool IsReady = this->Balancers[I]->isReady();
        const std::lock_guard Guard(this->Lock);
        this->Misses[I] = IsReady ? 0 : this->Misses[I] + 1;
      }
      for (int I = 0; I < 50 && !this->Stopping; ++I) {
        sleepMs(10);
      }
    }
  }

  std::vector<Machine *> Balancers;
  std::vector<int> Misses;
  std::mutex Lock;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

enum class Outcome { Pending, Served, Refused, NotOpened, Broken, Late };
inline const char *name(Outcome Each) {
  switch (Each) {
  case Outcome::Pending:
    return "pending";
  case Outcome::Served:
    return "served";
  case Outcome::Refused:
    return "refused";
  case Outcome::NotOpened:
    return "not opened";
  case Outcome::Broken:
    return "reset on an open flow";
  default:
    return "deadline";
  }
}

// One try of a request, on a flow of its own.
struct Attempt {
  std::string Request;
  FlowId Flow;
  double SentAt = 0;
  Outcome Result = Outcome::Pending;
  double EndedAt = 0;
  // The service and target that answered.
  std::string AnsweredBy;
  std::uint32_t Balancer = 0;
  // The balancers that took packets of the flow.
  std::set<std::uint32_t> Balancers;
  struct Reset {
    double At = 0;
    std::uint32_t Seq = 0;
    bool IsOpen = false;
    // Within the span that the pages allow on an open flow.
    bool IsInWindow = false;
    std::uint32_t From = 0;
  };
  std::vector<Reset> Resets;
  double OpenedAt = 0;
};

// Clients at one address. Each request has one flow, or `PerFlow` requests
// with pauses between them.
class Clients {
public:
  struct Options {
    std::uint32_t Ip = 0;
    int DeadlineMs = 1200;
    int PerFlow = 1;
    int PauseMs = 300;
    bool IgnoresResetsOutsideTheWindow = true;
  };
  Clients(Options Own, Routers &Way, Record &Log)
      : Own(Own), Way(Way), Log(Log) {
    this->Socket = udpSocket(Own.Ip, PacketPort);
    if (this->Socket < 0) {
      couldNotRun("address of the clients in use");
    }
    this->Thread = std::thread([this] { this->serve(); });
  }
  ~Clients() {
    this->Stopping = true;
    this->Thread.join();
    close(this->Socket);
  }

  // Begins a try; returns its number. `To` names a balancer for flows that are
  // sent directly to it.
  std::size_t begin(std::uint32_t RouteIp, std::uint16_t RoutePort,
                    std::uint32_t To = 0) {
    const std::lock_guard Guard(this->Lock);
    const std::size_t Number = this->Attempts.size();
    Attempt &Each = this->Attempts.emplace_back();
    Each.Request = "r" + std::to_string(Number);
    Each.Flow = {this->Own.Ip, this->NextPort, RouteIp, RoutePort};
    this->NextPort = this->NextPort == 65000 ? 1024 : this->NextPort + 1;
    Each.SentAt = sinceBegin();
    State &Of = this->States[Each.Flow];
    Of.Number = Number;
    Of.Initial = static_cast<std::uint32_t>(this->Random());
    Of.Began = Clock::now();
    Of.FixedBalancer = To;
    Of.Left = this->Own.PerFlow;
    this->Log.add("begin " + Each.Request + " flow " + Each.Flow.text());
    this->sendSyn(Each, Of);
    return Number;
  }
  std::vector<Attempt> attempts() {
    const std::lock_guard Guard(this->Lock);
    return {this->Attempts.begin(), this->Attempts.end()};
  }

private:
  struct State {
    std::size_t Number = 0;
    std::uint32_t Initial = 0;
    Clock::time_point Began;
    std::uint32_t FixedBalancer = 0;
    std::uint32_t Copies = 0;
    bool IsOpen = false, IsFinished = false;
    std::uint32_t Next = 0, Received = 0;
    std::string Unacked;
    std::uint32_t UnackedSeq = 0;
    Clock::time_point ResendAt, PauseUntil, RequestAt;
    int Resends = 0, Left = 1, Done = 0;
    bool IsPaused = false;
  };

  void sendSyn(Attempt &Each, State &Of) {
    this->transmit(Each, Of, Syn, Of.Initial, Of.Copies, {});
  }
  void transmit(Attempt &Each, State &Of, std::uint8_t Flags, std::uint32_t Seq,
                std::uint32_t AckNo, std::string Data) {
    Packet Out;
    Out.Flags = Flags;
    Out.Seq = Seq;
    Out.AckNo = AckNo;
    Out.Src = Each.Flow.Ip;
    Out.SPort = Each.Flow.Port;
    Out.Dst = Each.Flow.RouteIp;
    Out.DPort = Each.Flow.RoutePort;
    Out.Data = std::move(Data);
    const std::uint32_t Balancer =
        Of.FixedBalancer != 0 ? Of.FixedBalancer : this->Way.pick(Each.Flow);
    Each.Balancer = Balancer;
    Each.Balancers.insert(Balancer);
    const Bytes Text = encode(Out);
    const sockaddr_in To = socketAddress(Balancer, PacketPort);
    sendto(this->Socket, Text.data(), Text.size(), 0,
           reinterpret_cast<const sockaddr *>(&To), sizeof To);
  }
  void sendRequest(Attempt &Each, State &Of) {
    Of.Unacked = "GET / HTTP/1.1\r\nX-Mulberryhoist-Request-Id: " +
                 Each.Request + (Of.Done == 0 ? "" : "." + std::to_string(Of.Done)) +
                 "\r\n\r\n";
    Of.UnackedSeq = Of.Next;
    Of.Next += static_cast<std::uint32_t>(Of.Unacked.size());
    Of.Resends = 0;
    Of.RequestAt = Clock::now();
    Of.ResendAt = Clock::now() + milliseconds(200);
    this->transmit(Each, Of, Ack, Of.UnackedSeq, Of.Received, Of.Unacked);
  }
  void finish(Attempt &Each, State &Of, Outcome Result) {
    if (Of.IsFinished) {
      return;
    }
    Of.IsFinished = true;
    Each.Result = Result;
    Each.EndedAt = sinceBegin();
    this->Log.add(std::string(name(Result)) + " " + Each.Request +
                  (Each.AnsweredBy.empty() ? "" : " by " + Each.AnsweredBy));
  }

  void serve() {
    Bytes Buffer;
    while (!this->Stopping) {
      pollfd Entry{this->Socket, POLLIN, 0};
      poll(&Entry, 1, 1);
      for (int I = 0; I < 256; ++I) {
        Buffer.resize(2048);
        sockaddr_in From{};
        socklen_t Length = sizeof From;
        const ssize_t Got =
            recvfrom(this->Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr *>(&From), &Length);
        if (Got < 0) {
          break;
        }
        Buffer.resize(static_cast<std::size_t>(Got));
        const std::lock_guard Guard(this->Lock);
        this->take(Buffer, ntohl(From.sin_addr.s_addr));
      }
      const std::lock_guard Guard(this->Lock);
      this->tick();
    }
  }

  void take(const Bytes &In, std::uint32_t From) {
    Packet P;
    if (!decode(In, P)) {
      this->Log.add("MIXED: malformed packet at a client");
      return;
    }
    const FlowId Id{P.Dst, P.DPort, P.Src, P.SPort};
    const auto Found = this->States.find(Id);
    if (Found == this->States.end()) {
      return;
    }
    State &Of = Found->second;
    Attempt &Each = this->Attempts[Of.Number];
    const bool IsOwnReset = P.has(Rst) && get32(In, 12) == 0;
    if (!IsOwnReset && !hasValidSum(In)) {
      this->Log.add("MIXED: packet with a wrong sum at a client");
      return;
    }
    if (Of.IsFinished) {
      if (P.has(Fin)) {
        this->transmit(Each, Of, Ack, Of.Next + 1,
                       P.Seq + static_cast<std::uint32_t>(P.Data.size()) + 1, {});
      }
      return;
    }
    if (P.has(Rst)) {
      constexpr std::uint32_t Span = 76800;
      const std::uint32_t Distance = P.Seq - Of.Received;
      const bool InWindow = Distance <= Span || 0U - Distance <= Span;
      Each.Resets.push_back({sinceBegin(), P.Seq, Of.IsOpen, InWindow, From});
      this->Log.add(std::string(IsOwnReset ? "reset of the system" : "reset") +
                    " at " + Each.Request + " from " + ipText(From) +
                    (Of.IsOpen ? ", flow open" : ", flow not open") +
                    (Of.IsOpen && !InWindow ? ", seq outside the span" : ""));
      if (!Of.IsOpen) {
        this->finish(Each, Of, Outcome::Refused);
      } else if (InWindow || !this->Own.IgnoresResetsOutsideTheWindow) {
        this->finish(Each, Of, Outcome::Broken);
      }
      return;
    }
    if (P.has(Syn) && P.has(Ack)) {
      if (!Of.IsOpen && P.AckNo == Of.Initial + 1) {
        Of.IsOpen = true;
        Each.OpenedAt = sinceBegin();
        Of.Next = Of.Initial + 1;
        Of.Received = P.Seq + 1;
        this->sendRequest(Each, Of);
      }
      return;
    }
    if (!Of.IsOpen) {
      return;
    }
    if (static_cast<std::int32_t>(P.AckNo - Of.UnackedSeq) > 0) {
      Of.Unacked.clear();
    }
    if (P.Data.empty()) {
      return;
    }
    if (P.Seq != Of.Received) {
      this->transmit(Each, Of, Ack, Of.Next, Of.Received, {});
      return;
    }
    Of.Received += static_cast<std::uint32_t>(P.Data.size());
    const auto At = P.Data.find("Response-Signature: ");
    if (At != std::string::npos) {
      Each.AnsweredBy =
          P.Data.substr(At + 20, P.Data.find('\r', At) - At - 20);
    }
    ++Of.Done;
    if (Of.Done < Of.Left) {
      this->transmit(Each, Of, Ack, Of.Next, Of.Received, {});
      Of.IsPaused = true;
      Of.PauseUntil = Clock::now() + milliseconds(this->Own.PauseMs);
      return;
    }
    this->transmit(Each, Of, Ack | Fin, Of.Next, Of.Received, {});
    this->finish(Each, Of, Outcome::Served);
  }

  void tick() {
    const auto Now = Clock::now();
    for (auto &[Id, Of] : this->States) {
      if (Of.IsFinished) {
        continue;
      }
      Attempt &Each = this->Attempts[Of.Number];
      const auto Age = Now - Of.Began;
      if (!Of.IsOpen) {
        if ((Of.Copies == 0 && Age >= milliseconds(200)) ||
            (Of.Copies == 1 && Age >= milliseconds(600))) {
          ++Of.Copies;
          this->sendSyn(Each, Of);
        }
        if (Age >= milliseconds(1400)) {
          this->finish(Each, Of, Outcome::NotOpened);
        }
        continue;
      }
      if (Of.IsPaused) {
        if (Now >= Of.PauseUntil) {
          Of.IsPaused = false;
          this->sendRequest(Each, Of);
        }
        continue;
      }
      if (Now - Of.RequestAt >= milliseconds(this->Own.DeadlineMs)) {
        this->finish(Each, Of, Outcome::Late);
        continue;
      }
      if (!Of.Unacked.empty() && Now >= Of.ResendAt) {
        ++Of.Resends;
        Of.ResendAt =
            Now + milliseconds(std::min(1600, 200 << std::min(Of.Resends, 3)));
        this->transmit(Each, Of, Ack, Of.UnackedSeq, Of.Received, Of.Unacked);
      }
    }
  }

  Options Own;
  Routers &Way;
  Record &Log;
  int Socket = -1;
  std::mutex Lock;
  std::deque<Attempt> Attempts;
  std::map<FlowId, State> States;
  std::uint16_t NextPort = 1024;
  std::mt19937 Random{std::random_device{}()};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

// ---------------------------------------------------------------- frame

// A temporary folder for settings files and logs.
class Scratch {
public:
  Scratch() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "mulberry-review-XXXXXX")
            .string();
    if (mkdtemp(Name.data()) == nullptr) {
      couldNotRun("no temporary folder");
    }
    this->Folder = Name;
  }
  ~Scratch() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code Ignored;
      std::filesystem::remove_all(this->Folder, Ignored);
    }
  }
  const std::filesystem::path &path() const { return this->Folder; }

private:
  std::filesystem::path Folder;
};

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

inline std::string route(const std::string &Name, const std::string &Host,
                         int Port, const std::string &Backend,
                         int TimeoutMs = 1200, int GoalMs = 200) {
  return "{\"name\":\"" + Name + "\",\"host\":\"" + Host + "\",\"prefix\":\"/" +
         std::to_string(Port) + "/\",\"type\":\"safe\",\"timeout_ms\":" +
         std::to_string(TimeoutMs) + ",\"goal_ms\":" + std::to_string(GoalMs) +
         ",\"priority\":2,\"backend\":\"" + Backend + "\",\"max_attempts\":2}";
}
inline std::string backend(const std::string &Name, double ColdPerS = 0) {
  std::ostringstream Text;
  Text << "{\"name\":\"" << Name
       << "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":"
          "\"h1\",\"tls\":false,\"cold_s\":2.0,\"cold_per_s\":"
       << ColdPerS << "}";
  return Text.str();
}
inline std::string config(int Version, const std::vector<std::string> &Routes,
                          const std::vector<std::string> &Backends) {
  const auto Join = [](const std::vector<std::string> &Each) {
    std::string Text;
    for (const std::string &One : Each) {
      Text += (Text.empty() ? "" : ",") + One;
    }
    return Text;
  };
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" +
         Join(Routes) + "],\"backends\":[" + Join(Backends) +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

inline void awaitReady(Routers &Way) {
  for (int I = 0; I < 100; ++I) {
    if (Way.areAllIn()) {
      return;
    }
    sleepMs(100);
  }
  couldNotRun("the balancers did not become ready");
}

} // namespace kit
