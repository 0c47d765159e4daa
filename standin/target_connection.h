#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "standin/target.h"

namespace standin {

/// What the control switches of one connection to a target.
struct TargetConnection {
  /// The other end gets no further byte and no request is read.
  bool silent = false;
  /// The connection is above the target's cap.
  bool over_cap = false;
  /// One-way delay to the other end.
  Duration delay{};
};

}  // namespace standin
