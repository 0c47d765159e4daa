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

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
  kDone,
  /// The store refused the call, or was not reached.
  kNotDone,
  /// No whole answer came; an append may have taken effect, or still may.
  kUnknown,
  /// The records asked for are deleted already.
  kExpired,
};

/// Newest state of one key of a keyed topic.
struct KeyedRecord {
  LogOffset offset{};
  std::string key;
  /// Nothing when the key was dropped.
  std::optional<std::string> value;
};

/// Answer to a read of a keyed topic.
struct KeyedPage {
  StoreStatus status = StoreStatus::kNotDone;
  /// Offset from which to read on. The store may hold more records than it
  /// answered with, so this is not always the end of its log.
  LogOffset next{};
  std::vector<KeyedRecord> records;
};

/// Answer to a read of any topic.
struct RawPage {
  StoreStatus status = StoreStatus::kNotDone;
  /// Oldest offset kept; also told when the records asked for are deleted.
  LogOffset first{};
  /// Offset that the next record of the log will get.
  LogOffset end{};
  std::vector<std::string> contents;
};

/// Answer to an append.
struct RawAppend {
  StoreStatus status = StoreStatus::kNotDone;
  /// Offset of the first record.
  LogOffset first{};
};

/// What a call does, as far as the store limits it.
enum class CallType : std::uint8_t { kRead, kWrite };

/// Client of the platform's metadata store.
class Store {
 public:
  /// Returns how long a call has to wait so that limits are kept.
  using Pacer = std::function<Duration(CallType type)>;

  /// @param address Host and port of the store.
  /// @param source IP number to send from; empty for the system's choice.
  explicit Store(std::string address, std::string source = {})
      : address_(std::move(address)), source_(std::move(source)) {}

  /// Sets what paces calls; without one they are sent at once.
  void SetPacer(Pacer pacer) { pacer_ = std::move(pacer); }

  /// Changes the address for calls from now on.
  void SetAddress(std::string address) { address_ = std::move(address); }

  /// Returns the newest record of each key.
  [[nodiscard]] boost::asio::awaitable<KeyedPage> ReadNewest(
      std::string topic) const;

  /// Returns the records from an offset on.
  /// @param wait Longest wait for a first record.
  [[nodiscard]] boost::asio::awaitable<KeyedPage> ReadFrom(std::string topic,
                                                           LogOffset from,
                                                           Duration wait) const;

  /// Returns the records of any topic from an offset on.
  /// @param patience Time beyond `wait` after which the read is given up.
  [[nodiscard]] boost::asio::awaitable<RawPage> ReadRaw(
      std::string topic,
      LogOffset from,
      Duration wait,
      Duration patience) const;

  /// Appends records to any topic, all or none.
  [[nodiscard]] boost::asio::awaitable<RawAppend> AppendRaw(
      std::string topic,
      std::vector<std::string> contents) const;

  /// Appends the new value of a key.
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
                                               Duration patience) const;

  /// Sends a call when its turn has come.
  [[nodiscard]] boost::asio::awaitable<http::FetchResult> Send(
      CallType type,
      http::FetchRequest request) const;

  std::string address_;
  std::string source_;
  Pacer pacer_;
};

/// Reads the body of an answer to a read; records that are cut short end it.
/// @param from Offset of the first record.
[[nodiscard]] KeyedPage DecodeRead(const std::string& body, LogOffset from);

/// Reads the body of one page of newest records.
/// @param more Set to true when further pages follow.
[[nodiscard]] KeyedPage DecodeNewest(const std::string& body, bool& more);

/// Reads the body of an answer to a read of any topic.
[[nodiscard]] RawPage DecodeRawRead(const std::string& body);

/// Encodes a record of any topic.
[[nodiscard]] std::string EncodeRaw(const std::string& content);

/// Encodes a record of a keyed topic; without a value it drops the key.
[[nodiscard]] std::string EncodeRecord(const std::string& key,
                                       const std::optional<std::string>& value);

}  // namespace kingcupshed::platform
