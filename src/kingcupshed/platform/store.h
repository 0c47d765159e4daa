#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"

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

/// Client of the platform's metadata store.
class Store {
 public:
  /// @param address Host and port of the store.
  explicit Store(std::string address) : address_(std::move(address)) {}

  /// Changes the address for calls from now on.
  void SetAddress(std::string address) { address_ = std::move(address); }

  /// Returns the newest record of each key.
  [[nodiscard]] boost::asio::awaitable<KeyedPage> ReadNewest(
      std::string topic) const;

  /// Returns the records from an offset on.
  /// @param wait Longest wait for a first record.
  [[nodiscard]] boost::asio::awaitable<KeyedPage> ReadFrom(
      std::string topic,
      LogOffset from,
      Duration wait) const;

  /// Appends the new value of a key.
  [[nodiscard]] boost::asio::awaitable<StoreStatus> Put(
      std::string topic,
      std::string key,
      std::optional<std::string> value) const;

 private:
  std::string address_;
};

/// Reads the body of an answer to a read; records that are cut short end it.
/// @param from Offset of the first record.
[[nodiscard]] KeyedPage DecodeRead(const std::string& body, LogOffset from);

/// Reads the body of one page of newest records.
/// @param more Set to true when further pages follow.
[[nodiscard]] KeyedPage DecodeNewest(const std::string& body, bool& more);

/// Encodes a record of a keyed topic; without a value it drops the key.
[[nodiscard]] std::string EncodeRecord(
    const std::string& key,
    const std::optional<std::string>& value);

}  // namespace kingcupshed::platform
