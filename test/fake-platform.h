/// \file
/// A configuration service for tests that can inject faults.

#ifndef MULBERRYHOIST_TEST_FAKE_PLATFORM_H
#define MULBERRYHOIST_TEST_FAKE_PLATFORM_H

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::testing {

/// The fault that the service injects into a call.
enum class PlatformFault : std::uint8_t {
  None,
  Silent,       ///< Accepts the call and never responds.
  HalfBody,     ///< Closes the connection within the body.
  HugeBody,     ///< Announces a body over the size limit.
  NoRevision,   ///< Omits `X-Revision`.
  Garbage,      ///< Responds with text that is not HTTP.
  TooManyCalls, ///< Responds with status 429.
  CloseAfter,   ///< Closes the connection after a complete response.
};

/// Serves values by path; one thread for each connection.
class FakePlatform {
public:
  explicit FakePlatform(std::uint16_t Port = 0)
      : Acceptor(this->Context,
                 {boost::asio::ip::address_v4::loopback(), Port}),
        Listener([this] { this->listen(); }) {}

  FakePlatform(const FakePlatform &) = delete;
  FakePlatform &operator=(const FakePlatform &) = delete;

  ~FakePlatform() { this->Stopping = true; }

  Endpoint address() const {
    constexpr std::uint32_t Loopback = 0x7F000001U;
    return {Loopback, this->Acceptor.local_endpoint().port()};
  }

  void set(const std::string &Path, std::uint64_t Revision, std::string Body) {
    const std::lock_guard Lock(this->Mutex);
    this->Values[Path] = {Revision, std::move(Body)};
  }

  std::atomic<PlatformFault> Fault = PlatformFault::None;
  std::atomic<std::uint64_t> Calls = 0;
  std::atomic<std::uint64_t> Connections = 0;

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Value {
    std::uint64_t Revision = 0;
    std::string Body;
  };

  void listen() {
    std::vector<std::jthread> Threads;
    this->Acceptor.non_blocking(true);
    while (!this->Stopping) {
      boost::system::error_code Code;
      Socket Peer = this->Acceptor.accept(Code);
      if (Code) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        continue;
      }
      ++this->Connections;
      Threads.emplace_back([this, Connection = std::move(Peer)]() mutable {
        this->serve(std::move(Connection));
      });
    }
  }

  void serve(Socket Peer) {
    boost::system::error_code Code;
    std::string Received;
    Peer.non_blocking(true);
    while (!this->Stopping) {
      char Buffer[1024];
      const std::size_t Length =
          Peer.read_some(boost::asio::buffer(Buffer), Code);
      if (Code == boost::asio::error::would_block) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        continue;
      }
      if (Code) {
        return;
      }
      Received.append(Buffer, Length);
      if (Received.find("\r\n\r\n") == std::string::npos) {
        continue;
      }
      ++this->Calls;
      const std::string Response = this->respond(Received);
      Received.clear();
      Peer.non_blocking(false);
      boost::asio::write(Peer, boost::asio::buffer(Response), Code);
      Peer.non_blocking(true);
      if (this->Fault == PlatformFault::HalfBody ||
          this->Fault == PlatformFault::CloseAfter) {
        return;
      }
    }
  }

  static std::uint64_t queryNumber(const std::string &Request,
                                   const std::string &Name) {
    return std::stoull(Request.substr(Request.find(Name) + Name.size()));
  }

  std::string respond(const std::string &Request) {
    const auto Query = Request.find('?');
    const std::string Path = Request.substr(4, Query - 4);
    const std::uint64_t After = queryNumber(Request, "after=");
    const auto Deadline = std::chrono::steady_clock::now() +
                          std::chrono::seconds(queryNumber(Request, "wait="));
    while (!this->Stopping) {
      const PlatformFault CurrentFault = this->Fault;
      if (CurrentFault == PlatformFault::Silent) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        continue;
      }
      if (CurrentFault == PlatformFault::TooManyCalls) {
        return "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
      }
      if (CurrentFault == PlatformFault::Garbage) {
        return "not http\r\n\r\n";
      }
      {
        const std::lock_guard Lock(this->Mutex);
        const Value &Current = this->Values[Path];
        if (Current.Revision > After) {
          return okResponse(Current, CurrentFault);
        }
      }
      if (std::chrono::steady_clock::now() >= Deadline) {
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return "HTTP/1.1 304 Not Modified\r\n\r\n";
  }

  static std::string okResponse(const Value &Current, PlatformFault Fault) {
    constexpr std::size_t OversizedBodyBytes = 3U << 20U;
    const std::string Revision =
        Fault == PlatformFault::NoRevision
            ? ""
            : fmt::format("X-Revision: {}\r\n", Current.Revision);
    const std::size_t Length = Fault == PlatformFault::HugeBody
                                   ? OversizedBodyBytes
                                   : Current.Body.size();
    std::string Body = Current.Body;
    if (Fault == PlatformFault::HalfBody) {
      Body.resize(Body.size() / 2);
    }
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                       Revision, Length, Body);
  }

  std::mutex Mutex;
  std::map<std::string, Value> Values;
  std::atomic<bool> Stopping = false;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::jthread Listener;
};

} // namespace mulberryhoist::testing

#endif // MULBERRYHOIST_TEST_FAKE_PLATFORM_H
