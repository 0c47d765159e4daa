// A small test bed for the cases of this review: the platform's store, targets
// and clients as threads of one program, and the VMs as separate processes.
#pragma once

#include <algorithm>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double Seconds(Clock::time_point at) {
  return std::chrono::duration<double>(at - kStart).count();
}
inline double Now() { return Seconds(Clock::now()); }
inline void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void SleepUntil(double at) {
  if (at > Now()) {
    SleepFor(at - Now());
  }
}
inline std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// What was sent, answered and run, in record.txt.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_.open(path); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    char head[32];
    std::snprintf(head, sizeof head, "%8.3f ", Now());
    const std::lock_guard lock(mutex_);
    file_ << head << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// The bare name keeps the calls short.
#define RECORD(...) ::rig::Record::Get().Line(__VA_ARGS__)

// ---------------------------------------------------------------- sockets

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Returns a port that is free now, below those that the system gives to
/// connections by itself.
inline int FreePort(const std::string& ip = "127.0.0.1") {
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  static std::mt19937 random(std::random_device{}());
  static std::set<int> given;
  for (;;) {
    const int port = kFirst + static_cast<int>(random() % kCount);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address(ip, port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof address) == 0;
    close(fd);
    if (free && given.insert(port).second) {
      return port;
    }
  }
}

/// A connection with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  static std::unique_ptr<Connection> Open(const std::string& ip,
                                          int port,
                                          double timeout = 1.0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = Address(ip, port);
    int result = connect(fd, reinterpret_cast<const sockaddr*>(&address),
                         sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
      pollfd wait{fd, POLLOUT, 0};
      poll(&wait, 1, static_cast<int>(timeout * 1000));
      int error = ETIMEDOUT;
      socklen_t size = sizeof error;
      if (wait.revents != 0) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      }
      result = error;
    }
    if (result != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Connection>(fd);
  }

  bool Write(const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t size =
          send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(size);
    }
    return true;
  }

  /// Waits for bytes until the time, on the rig's clock.
  /// @return False at the end of the connection, an error or the time.
  bool Fill(double until) {
    const double left = until - Now();
    pollfd wait{fd_, POLLIN, 0};
    const int ready =
        poll(&wait, 1, left <= 0 ? 0 : static_cast<int>(left * 1000) + 1);
    if (ready <= 0) {
      timed_out_ = true;
      return false;
    }
    char chunk[65536];
    const ssize_t size = recv(fd_, chunk, sizeof chunk, 0);
    if (size <= 0) {
      reset_ = size < 0;
      return false;
    }
    buffer_.append(chunk, static_cast<std::size_t>(size));
    return true;
  }

  /// Returns whether the other side has closed the connection.
  bool IsClosed() {
    char byte = 0;
    const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Closes with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  std::string& buffer() { return buffer_; }
  bool timed_out() const { return timed_out_; }
  bool reset() const { return reset_; }
  int fd() const { return fd_; }

 private:
  int fd_;
  std::string buffer_;
  bool timed_out_ = false;
  bool reset_ = false;
};

// ------------------------------------------------------------------- HTTP

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string Target() const {
    const std::size_t from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
  int Status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

/// Reads a head; the body stays in the buffer.
inline bool ReadHead(Connection& connection, Message& message, double until) {
  std::string& buffer = connection.buffer();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!connection.Fill(until)) {
      return false;
    }
  }
  message = {};
  std::size_t at = buffer.find("\r\n");
  message.first_line = buffer.substr(0, at);
  at += 2;
  while (at < end + 2) {
    const std::size_t line_end = buffer.find("\r\n", at);
    const std::string line = buffer.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = line_end + 2;
  }
  buffer.erase(0, end + 4);
  return true;
}

/// Reads the body of a message; without a length a response ends with its
/// connection.
inline bool ReadBody(Connection& connection,
                     Message& message,
                     double until,
                     bool response) {
  std::string& buffer = connection.buffer();
  const std::string length = message.Header("content-length");
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = buffer.find("\r\n")) == std::string::npos) {
        if (!connection.Fill(until)) {
          return false;
        }
      }
      const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2) {
        if (!connection.Fill(until)) {
          return false;
        }
      }
      message.body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  if (!length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (!connection.Fill(until)) {
        return false;
      }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
  }
  if (!response) {
    return true;
  }
  while (connection.Fill(until)) {
  }
  if (connection.timed_out() || connection.reset()) {
    return false;
  }
  message.body = std::exchange(buffer, {});
  return true;
}

inline std::string Response(const std::string& status,
                            const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a loopback address, with a thread for each connection.
class Listener {
 public:
  using Handler = std::function<void(Connection&, const std::string& peer)>;

  bool Start(const std::string& ip, int port, Handler handler) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = Address(ip, port);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(fd_, 512) != 0) {
      return false;
    }
    std::thread([fd = fd_, handler = std::move(handler)] {
      for (;;) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int accepted = accept4(fd, reinterpret_cast<sockaddr*>(&peer),
                                     &size, SOCK_CLOEXEC);
        if (accepted < 0) {
          if (errno == EBADF || errno == EINVAL) {
            return;
          }
          continue;
        }
        char text[32];
        inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
        std::thread([accepted, handler, name = std::string(text)] {
          Connection connection(accepted);
          handler(connection, name);
        }).detach();
      }
    }).detach();
    return true;
  }
  void Stop() { shutdown(fd_, SHUT_RDWR); }

 private:
  int fd_ = -1;
};

// ------------------------------------------------------------------ store

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8U |
              (at + i < bytes.size()
                   ? static_cast<unsigned char>(bytes[at + i])
                   : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i <= bytes.size()
                  ? kDigits[group >> (18U - 6U * i) & 63U]
                  : '=';
    }
  }
  return text;
}

/// The platform's store with keyed topics, as far as the system uses it.
class Store {
 public:
  struct Entry {
    std::string key;
    std::string value;  // empty: the key is dropped
  };
  using Topics = std::map<std::string, std::vector<Entry>>;

  bool Start(const std::string& ip, int port) {
    return listener_.Start(
        ip, port,
        [this](Connection& connection, const std::string&) {
          Serve(connection);
        });
  }

  /// Writes as the operator and the targets do.
  /// @return False while the store is away.
  bool Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    if (away_) {
      return false;
    }
    topics_[topic].push_back({key, value});
    return true;
  }

  Topics Copy() {
    const std::lock_guard lock(mutex_);
    return topics_;
  }
  std::size_t End(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    return topics_[topic].size();
  }
  void SetAway(bool away) {
    const std::lock_guard lock(mutex_);
    away_ = away;
  }
  /// Comes back from a copy.
  void Restore(Topics copy) {
    const std::lock_guard lock(mutex_);
    topics_ = std::move(copy);
    ++era_;
    away_ = false;
  }

 private:
  static std::string Query(const std::string& target, const std::string& name) {
    const std::string key = name + "=";
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      ++at;
      const std::size_t end = target.find('&', at);
      if (target.compare(at, key.size(), key) == 0) {
        return target.substr(at + key.size(), end - at - key.size());
      }
      at = end;
    }
    return "";
  }
  static std::string Big(std::uint64_t number, int bytes) {
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
      text += static_cast<char>(number >> static_cast<unsigned>(shift) & 255U);
    }
    return text;
  }

  void Serve(Connection& connection) {
    Message request;
    while (ReadHead(connection, request, Now() + 60) &&
           ReadBody(connection, request, Now() + 5, false)) {
      const std::string response = Handle(request);
      if (!connection.Write(response) ||
          Lower(request.Header("connection")) == "close") {
        return;
      }
    }
  }

  std::string Handle(const Message& request) {
    const std::lock_guard lock(mutex_);
    const std::string target = request.Target();
    const std::string headers =
        "Store-Era: " + std::to_string(era_) + "\r\n";
    const std::string json = headers + "Content-Type: application/json\r\n";
    if (away_) {
      return Response("503 Service Unavailable", headers, "");
    }
    const std::string topic = Query(target, "topic");
    std::vector<Entry>& log = topics_[topic];
    if (target.rfind("/api/log-append", 0) == 0) {
      const std::size_t first = log.size();
      const std::string& body = request.body;
      if (topic == "keyed.op" || topic == "keyed.servers") {
        return Response("403 Forbidden", json, "{}");
      }
      for (std::size_t at = 0; at + 4 <= body.size();) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8U | static_cast<unsigned char>(body[at + i]);
        }
        const std::string content = body.substr(at + 4, size);
        const std::size_t key = static_cast<unsigned char>(content[0]);
        log.push_back({content.substr(1, key), content.substr(1 + key)});
        at += 4 + size;
      }
      return Response("200 OK", json,
                      "{\"offset\":" + std::to_string(first) +
                          ",\"end\":" + std::to_string(log.size()) + "}");
    }
    if (target.rfind("/api/log-read", 0) == 0) {
      const std::uint64_t from =
          std::strtoull(Query(target, "from").c_str(), nullptr, 10);
      if (from > log.size()) {
        return Response("410 Gone", json, "{\"first\":0}");
      }
      std::string body = Big(log.size(), 8) + Big(0, 8);
      for (std::size_t at = from; at < log.size(); ++at) {
        const std::string content =
            static_cast<char>(log[at].key.size()) + log[at].key + log[at].value;
        body += Big(content.size(), 4) + content;
      }
      return Response("200 OK", headers, body);
    }
    if (target.rfind("/api/log-newest", 0) == 0) {
      std::map<std::string, std::size_t> newest;
      for (std::size_t at = 0; at < log.size(); ++at) {
        newest[log[at].key] = at;
      }
      std::string items;
      for (const auto& [key, at] : newest) {
        if (!log[at].value.empty()) {
          items += (items.empty() ? "" : ",");
          items += "{\"key\":\"" + key + "\",\"value\":\"" +
                   Base64(log[at].value) +
                   "\",\"offset\":" + std::to_string(at) + "}";
        }
      }
      return Response("200 OK", json,
                      "{\"items\":[" + items + "],\"has_more\":false,\"end\":" +
                          std::to_string(log.size()) + "}");
    }
    return Response("404 Not Found", json, "{}");
  }

  std::mutex mutex_;
  Topics topics_;
  bool away_ = false;
  std::uint64_t era_ = 1;
  Listener listener_;
};

// ---------------------------------------------------------------- targets

/// A request as it reached a target.
struct Arrival {
  double at = 0;
  std::string id;
  std::string path;
};

/// A target: serves requests with a fixed work time, writes its entry, and can
/// leave.
class Target {
 public:
  std::string id;
  std::string service;
  std::string zone;
  std::string ip = "127.0.0.1";
  int port = 0;
  double work_s = 0.02;
  /// True when arrivals are not recorded one by one.
  bool quiet = false;
  int slots = 3;
  /// Handles a request in place of the plain answer; returns true if it did.
  std::function<bool(Target&, Connection&, Message&, bool& keep)> special;

  std::atomic<bool> draining{false};
  std::atomic<bool> gone{false};
  /// When the store accepted that the target leaves; 0 while it doesn't.
  std::atomic<double> left_at{0};

  bool Start(Store& store) {
    store_ = &store;
    if (port == 0) {
      port = FreePort(ip);
    }
    born_ = UnixMs();
    return listener_.Start(ip, port,
                           [this](Connection& connection, const std::string&) {
                             Serve(connection);
                           });
  }

  /// Writes the entry: at the start, every 1.5 s, and when the state changes.
  bool Beat() {
    const std::lock_guard lock(mutex_);
    if (removed_) {
      return true;
    }
    const std::string value =
        "{\"addr\":\"" + ip + ":" + std::to_string(port) +
        "\",\"born\":" + std::to_string(born_) + ",\"info\":{\"service\":\"" +
        service + "\",\"version\":\"v1\",\"zone\":\"" + zone +
        "\",\"slots\":" + std::to_string(slots) +
        "},\"status\":{\"state\":\"" + (draining ? "draining" : "ready") +
        "\",\"seq\":" + std::to_string(++seq_) + ",\"warmup_left_s\":0}}";
    return store_->Put("keyed.servers", id, value);
  }

  /// Starts to leave: says so in its answers, and in the store.
  void Drain() {
    draining = true;
    if (Beat()) {
      left_at = Now();
      RECORD("store accepts: %s is draining", id.c_str());
    }
  }

  /// Starts to leave without a report: its entry is removed.
  void Remove() {
    {
      const std::lock_guard lock(mutex_);
      removed_ = true;
      store_->Put("keyed.servers", id, "");
    }
    if (left_at == 0) {
      left_at = Now();
    }
    draining = true;
    RECORD("store accepts: the entry of %s is removed", id.c_str());
  }

  /// Crashes, and starts again under its id after some time.
  /// @param clock_ahead_ms How far the clock of its machine is ahead then.
  void Restart(double down_s, std::int64_t clock_ahead_ms) {
    ++life_;
    down_ = true;
    RECORD("%s crashes", id.c_str());
    SleepFor(down_s);
    {
      const std::lock_guard lock(mutex_);
      born_ = UnixMs() + static_cast<std::uint64_t>(clock_ahead_ms);
      seq_ = 0;
    }
    down_ = false;
    RECORD("%s starts, born %llu", id.c_str(),
           static_cast<unsigned long long>(born_));
    Beat();
  }
  bool down() const { return down_; }

  std::vector<Arrival> Arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

  std::string Headers(const Message& request) {
    std::string headers = "Request-Id: " + request.Header("request-id") +
                          "\r\nServer-Load: " + Load() + "\r\n";
    if (draining) {
      headers += "Server-Leaving: 1\r\n";
    }
    return headers;
  }

  /// Works on a request in one of the slots.
  void Work() {
    WorkWhile([] { return true; });
  }

  /// Works on a request in one of the slots, as long as it is wanted.
  /// @return True if it was dropped.
  bool WorkWhile(const std::function<bool()>& wanted) {
    {
      std::unique_lock lock(slots_mutex_);
      ++waiting_;
      slot_free_.wait(lock, [this] { return running_ < slots; });
      --waiting_;
      ++running_;
    }
    constexpr double kStep = 0.01;
    bool dropped = false;
    for (double left = work_s; left > 0 && !dropped; left -= kStep) {
      SleepFor(std::min(left, kStep));
      dropped = !wanted();
    }
    const std::lock_guard lock(slots_mutex_);
    --running_;
    slot_free_.notify_one();
    return dropped;
  }

  std::string Load() {
    const std::lock_guard lock(slots_mutex_);
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(slots) + ",100";
  }

 private:
  void Serve(Connection& connection) {
    Message request;
    const int life = life_;
    for (;;) {
      if (down_ || !ReadHead(connection, request, Now() + 20) || gone ||
          down_ || life != life_) {
        return;
      }
      if (request.Target() == "/health") {
        const std::string body = Response(
            draining ? "503 Service Unavailable" : "200 OK",
            "Instance-Id: " + id +
                "\r\nServer-Load: " + Load() + "\r\n" +
                (draining ? "Server-Leaving: 1\r\n" : ""),
            "");
        if (!connection.Write(body)) {
          return;
        }
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(
            {Now(), request.Header("request-id"), request.Target()});
      }
      if (!quiet) {
        RECORD("%s gets %s", id.c_str(), request.Header("request-id").c_str());
      }
      bool keep = true;
      if (special && special(*this, connection, request, keep)) {
        if (!keep) {
          return;
        }
        continue;
      }
      if (!ReadBody(connection, request, Now() + 10, false)) {
        return;
      }
      const std::string expected = request.Header("expect-instance");
      if (!expected.empty() && expected != id) {
        connection.Write(
            Response("421 Misdirected Request", "Instance-Id: " + id + "\r\n", ""));
        continue;
      }
      Work();
      const std::string body = id + " " + request.Target();
      if (!connection.Write(Response(
              "200 OK", Headers(request) + "Response-Stamp: st." + id + "\r\n",
              body))) {
        return;
      }
    }
  }

  Store* store_ = nullptr;
  Listener listener_;
  std::mutex slots_mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  int waiting_ = 0;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::atomic<int> life_{0};
  std::atomic<bool> down_{false};
  std::uint64_t born_ = 0;
  std::uint64_t seq_ = 0;
  bool removed_ = false;
};

// -------------------------------------------------------------------- VMs

/// A VM: one process of the project, started as the deploy file says.
class Vm {
 public:
  std::string name;
  std::string zone;
  std::string ip;
  int front = 0;
  int ready = 0;
  int peer = 0;
  int metrics = 0;
  pid_t pid = 0;
  std::string directory;

  /// Starts the process.
  void Start(const std::string& zones, int store_port, bool first_start) {
    if (front == 0) {
      front = FreePort(ip);
      ready = FreePort(ip);
      peer = FreePort(ip);
      metrics = FreePort(ip);
    }
    const auto at = [this](int port) {
      return "\"" + ip + ":" + std::to_string(port) + "\"";
    };
    const std::string file = directory + "/" + name + ".json";
    std::ofstream out(file);
    out << "{\n  \"vm\": \"" << name << "\",\n  \"zone\": \"" << zone
        << "\",\n  \"zones\": " << zones << ",\n  \"listen\": " << at(front)
        << ",\n  \"pages_listen\": " << at(ready)
        << ",\n  \"metrics_listen\": " << at(metrics)
        << ",\n  \"peer_listen\": " << at(peer)
        << ",\n  \"store\": \"127.0.0.1:" << store_port
        << "\",\n  \"store_reads_per_s\": 2000,\n  \"store_writes_per_s\": 400"
        << ",\n  \"retry_ratio\": 0.2,\n  \"retry_window_s\": 10"
        << ",\n  \"retry_slack\": 60,\n  \"probes_per_target_s\": 60"
        << ",\n  \"first_start\": " << (first_start ? "true" : "false")
        << ",\n  \"stop_grace_ms\": 2400,\n  \"stop_limit_s\": 6"
        << ",\n  \"log_level\": \"info\"\n}\n";
    out.close();
    const std::string log = directory + "/" + name + ".log";
    pid = fork();
    if (pid == 0) {
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      clearenv();
      setenv("PATH", "/usr/bin:/bin", 1);
      setenv("HOME", "/tmp", 1);
      setenv("KINGCUPSHED_SETTINGS", file.c_str(), 1);
      execl("target/kingcupshed", "target/kingcupshed", "run", nullptr);
      _exit(127);
    }
    RECORD("start %s", name.c_str());
  }

  bool IsReady() const {
    const auto connection = Connection::Open(ip, ready, 0.5);
    Message response;
    return connection &&
           connection->Write("GET /readyz HTTP/1.1\r\nHost: " + ip +
                             "\r\nConnection: close\r\n\r\n") &&
           ReadHead(*connection, response, Now() + 0.5) &&
           response.Status() == 200;
  }

  void Signal(int number) const { kill(pid, number); }

  /// Returns the status of the process if it has ended.
  std::optional<int> Ended() {
    int status = 0;
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      pid = 0;
      return status;
    }
    return std::nullopt;
  }

  void Kill() {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }
};

// ---------------------------------------------------------------- clients

struct Answer {
  bool complete = false;
  Message message;
  bool sent = false;
  bool timed_out = false;
};

inline std::string NextId() {
  static std::atomic<unsigned> next{1};
  char text[32];
  std::snprintf(text, sizeof text, "q%07u", next++);
  return text;
}

inline std::string RequestText(const std::string& method,
                               const std::string& host,
                               const std::string& path,
                               const std::string& id,
                               int deadline_ms,
                               const std::string& body = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Sends one request on a connection and reads its answer.
inline Answer Exchange(Connection& connection,
                       const std::string& request,
                       double until) {
  Answer answer;
  answer.sent = connection.Write(request);
  answer.complete =
      answer.sent && ReadHead(connection, answer.message, until) &&
      ReadBody(connection, answer.message, until, true);
  answer.timed_out = connection.timed_out();
  return answer;
}

// ------------------------------------------------------------- deployment

struct RouteRow {
  std::string prefix;
  std::string service;
  std::string kind;
  double timeout_s = 1.5;
  double goal_s = 0.25;
  int max_attempts = 2;
  int priority = 0;
};

inline std::string Config(int version,
                          const std::string& host,
                          const std::vector<RouteRow>& rows,
                          const std::set<std::string>& services,
                          int max_body = 1048576) {
  std::string routes;
  for (const RouteRow& row : rows) {
    char numbers[160];
    std::snprintf(numbers, sizeof numbers,
                  "\"timeout_s\":%.2f,\"latency_goal_s\":%.2f,\"priority\":%d,"
                  "\"max_attempts\":%d",
                  row.timeout_s, row.goal_s, row.priority, row.max_attempts);
    routes += (routes.empty() ? "" : ",");
    routes += "{\"name\":\"r" + row.prefix + "\",\"host\":\"" + host +
              "\",\"path_prefix\":\"" + row.prefix + "\",\"kind\":\"" +
              row.kind + "\",\"service\":\"" + row.service + "\"," + numbers +
              "}";
  }
  std::string list;
  for (const std::string& service : services) {
    list += (list.empty() ? "" : ",");
    list += "{\"name\":\"" + service +
            "\",\"health_path\":\"/health\",\"max_conns\":240}";
  }
  return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":[" +
         routes + "],\"services\":[" + list +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" +
         std::to_string(max_body) +
         ",\"header_timeout_s\":5,\"idle_timeout_s\":30}}";
}

/// Everything of one case.
struct Bed {
  Store store;
  int store_port = 0;
  std::string directory;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Vm>> vms;
  std::string zones = "{\"a\":\"north\",\"b\":\"north\"}";
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;

  Bed() {
    signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/review-case-XXXXXX";
    directory = mkdtemp(pattern);
    store_port = FreePort();
    if (!store.Start("127.0.0.1", store_port)) {
      std::exit(2);
    }
  }
  ~Bed() {
    stop = true;
    for (auto& vm : vms) {
      vm->Kill();
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(directory, ignored);
    }
  }

  Target& AddTarget(const std::string& id,
                    const std::string& service,
                    const std::string& zone) {
    auto target = std::make_unique<Target>();
    target->id = id;
    target->service = service;
    target->zone = zone;
    if (!target->Start(store)) {
      std::exit(2);
    }
    target->Beat();
    targets.push_back(std::move(target));
    return *targets.back();
  }

  /// Lets each target write its entry every 1.5 s, as its heartbeat.
  void StartBeats() {
    threads.emplace_back([this] {
      double next = Now();
      std::size_t index = 0;
      while (!stop) {
        next += 1.5 / static_cast<double>(targets.size());
        SleepUntil(next);
        Target& target = *targets[index++ % targets.size()];
        if (!target.gone && !target.down()) {
          target.Beat();
        }
      }
    });
  }

  Vm& AddVm(const std::string& name, const std::string& zone) {
    auto vm = std::make_unique<Vm>();
    vm->name = name;
    vm->zone = zone;
    vm->ip = "127.0.0." + std::to_string(11 + vms.size());
    vm->directory = directory;
    vms.push_back(std::move(vm));
    return *vms.back();
  }

  /// Starts all VMs at once and waits until all are ready.
  bool StartVms() {
    for (auto& vm : vms) {
      vm->Start(zones, store_port, true);
    }
    const double until = Now() + 15;
    for (auto& vm : vms) {
      while (!vm->IsReady()) {
        if (Now() > until) {
          RECORD("%s is not ready", vm->name.c_str());
          return false;
        }
        SleepFor(0.1);
      }
    }
    RECORD("all VMs are ready");
    return true;
  }
};

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace rig
