#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/http/fetch.h"

namespace kingcupshed::platform {

/// Outcome of a call to the store.
enum class StoreStatus : std::uint8_t {
  kDone,
  /// The store refused the call or was unreachable; nothing took effect.
  kNotDone,
  /// No complete response arrived; an append may have taken effect, or may
  /// still do so.
  kUnknown,
  /// Retention has already deleted the requested records.
  kExpired,
};

/// A record of a keyed topic: the newest value of one key.
struct KeyedRecord {
  LogOffset offset{};
  std::string key;
  /// Nothing if the record removes the key.
  std::optional<std::string> value;
};

/// Result of a read of a keyed topic.
struct KeyedPage {
  StoreStatus status = StoreStatus::kNotDone;
  /// Offset to continue reading from. The log may hold more records than the
  /// response, so this is not always the end of the log.
  LogOffset next_offset{};
  std::vector<KeyedRecord> records;
  /// True if there are more records than these: a read was cut off, or a
  /// listing couldn't be read to its end.
  bool truncated = false;
};

/// One page of the listing of a keyed topic.
struct ListingPage {
  KeyedPage page;
  /// True if the listing continues after this page.
  bool has_more = false;
  /// Key of the last item, even if the rest of that item can't be decoded;
  /// nothing if no item has a key.
  std::optional<std::string> last_key;
};

/// Result of a read of any topic; records are not decoded.
struct RawPage {
  StoreStatus status = StoreStatus::kNotDone;
  /// Oldest offset that still exists; also set with `kExpired`.
  LogOffset first_offset{};
  /// Offset that the next record of the log will get.
  LogOffset end_offset{};
  std::vector<std::string> contents;
  /// True if the response ends within a record.
  bool cut_off = false;
};

/// Result of an append.
struct RawAppend {
  StoreStatus status = StoreStatus::kNotDone;
  /// Offset of the first appended record.
  LogOffset first_offset{};
};

/// Type of a call; the store limits the rate of each type separately.
enum class CallType : std::uint8_t { kRead, kWrite };

/// Client of the platform's metadata store.
class Store {
 public:
  /// Returns how long to delay a call so that the store's rate limits are kept.
  using Pacer = std::function<Duration(CallType type)>;

  /// @param address Host and port of the store.
  /// @param source Local IP address to connect from; empty to let the system
  ///   choose.
  explicit Store(std::string address, std::string source = {})
      : address_(std::move(address)), source_(std::move(source)) {}

  /// Sets the pacer of calls; without one they are sent immediately.
  void SetPacer(Pacer pacer) { pacer_ = std::move(pacer); }

  /// Changes the address that later calls are sent to.
  void SetAddress(std::string address) { address_ = std::move(address); }

  /// Lists the newest record of each key. What was found of a listing that
  /// couldn't be read to its end is `truncated`.
  [[nodiscard]] boost::asio::awaitable<KeyedPage> ReadNewest(
      std::string topic) const;

  /// Reads the records from an offset on.
  /// @param wait Maximum time that the store waits for a first record.
  [[nodiscard]] boost::asio::awaitable<KeyedPage> ReadFrom(std::string topic,
                                                           LogOffset from,
                                                           Duration wait) const;

  /// Reads the records of any topic from an offset on.
  /// @param wait Maximum time that the store waits for a first record.
  /// @param timeout_margin Time after `wait` at which the read times out.
  [[nodiscard]] boost::asio::awaitable<RawPage> ReadRaw(
      std::string topic,
      LogOffset from,
      Duration wait,
      Duration timeout_margin) const;

  /// Appends records to any topic atomically.
  [[nodiscard]] boost::asio::awaitable<RawAppend> AppendRaw(
      std::string topic,
      std::vector<std::string> contents) const;

  /// Sets the value of a key in a keyed topic, or removes the key if no value
  /// is given.
  [[nodiscard]] boost::asio::awaitable<StoreStatus> Put(
      std::string topic,
      std::string key,
      std::optional<std::string> value) const;

 private:
  [[nodiscard]] http::FetchRequest MakeRequest(std::string path,
                                               Duration timeout) const;
  [[nodiscard]] http::FetchRequest ReadRequest(const std::string& topic,
                                               LogOffset from,
                                               Duration wait,
                                               Duration timeout_margin) const;

  /// Sends a call after the delay set by the pacer.
  [[nodiscard]] boost::asio::awaitable<http::FetchResult> Send(
      CallType type,
      http::FetchRequest request) const;

  std::string address_;
  std::string source_;
  Pacer pacer_;
};

/// Decodes the response body of a read of a keyed topic. A record that is cut
/// off and everything after it are ignored.
/// @param from Offset of the first record.
[[nodiscard]] KeyedPage DecodeRead(const std::string& body, LogOffset from);

/// Decodes the response body of one page of a listing of newest records. Items
/// that can't be decoded are left out.
[[nodiscard]] ListingPage DecodeNewest(const std::string& body);

/// Decodes the response body of a read of any topic.
[[nodiscard]] RawPage DecodeRawRead(const std::string& body);

/// Encodes a record of any topic.
[[nodiscard]] std::string EncodeRaw(const std::string& content);

/// Encodes a record of a keyed topic; without a value it removes the key.
[[nodiscard]] std::string EncodeRecord(const std::string& key,
                                       const std::optional<std::string>& value);

}  // namespace kingcupshed::platform
