/// \file
/// A stand-in of the platform's key-value store, with faults.

#ifndef MULBERRYHOIST_TEST_SOAK_STORE_H
#define MULBERRYHOIST_TEST_SOAK_STORE_H

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist::soak {

/// How the store treats calls.
enum class StoreMode : std::uint8_t {
  Up,
  Busy,      ///< Status 503.
  Refusing,  ///< Status 429.
  Resetting, ///< Connections are reset.
  Silent,    ///< Calls get no answer, also later.
  Slow,      ///< Answers take 200 ms.
  Repeating, ///< Each answer is sent twice.
  Unpadded,  ///< Values lack the padding of their Base64 text.
  NoEra,     ///< Answers lack the header `Store-Era`.
  OddEra,    ///< The header `Store-Era` is not a number.
};

/// Serves items and watches over HTTP on a loopback address.
class Store {
  struct Change {
    std::string Key;
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    bool Removed = false;
  };

public:
  /// What the store holds at a moment.
  struct Copy {
    std::map<std::string, Change> Items;
    std::vector<Change> History;
    std::uint64_t Revision = 1;
    std::uint64_t Forgotten = 0;
  };

  explicit Store(Endpoint Listen);
  ~Store();

  void put(const std::string &Key, std::string Value);
  void remove(const std::string &Key);
  void setMode(StoreMode Next);
  /// The most items of one page of a list.
  void setPageSize(std::size_t Next) { this->PageSize = Next; }
  /// Forgets the changes so far, so that older watches get status 410.
  void dropHistory();

  Copy copy();
  /// Comes back from a copy: revisions go back, and the era rises by one.
  /// Watches that wait go on waiting.
  void returnFrom(const Copy &Old);
  /// Sets the era without a change of what the store holds.
  void setEra(std::uint64_t Next) { this->Era = Next; }

private:
  struct Answer {
    unsigned Status = 0;
    std::string Body;
  };

  void accept();
  void serve(boost::asio::ip::tcp::socket &Socket);
  std::string encodeValue(const std::string &Bytes) const;
  Answer answer(const std::string &Target);
  Answer list(const std::string &Prefix, const std::string &After);
  Answer watch(const std::string &Prefix, std::uint64_t After,
               std::chrono::milliseconds Wait);

  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::mutex Lock;
  std::condition_variable Changed;
  Copy Held;
  std::atomic<std::uint64_t> Era{1};
  std::atomic<StoreMode> Mode{StoreMode::Up};
  std::atomic<std::size_t> PageSize{500};
  std::atomic<bool> Stopping{false};
  std::list<boost::asio::ip::tcp::socket> Sockets;
  std::vector<std::jthread> Connections;
  std::jthread Acceptance;
};

} // namespace mulberryhoist::soak

#endif // MULBERRYHOIST_TEST_SOAK_STORE_H
