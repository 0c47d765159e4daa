// Stand-ins for a case with many requests a second.
//
//   swarm target ADDRESS ID SLOTS WORK_MS RUNS_FILE
//     A target. Writes the id of each request that it began to run to RUNS_FILE
//     when it gets SIGTERM.
//   swarm clients FIRST CLIENTS SECONDS THINK_MS FRONT,READY[ ...]
//     The platform's entry for one zone and the clients behind it. Each client
//     sends an order on a new connection, waits for the answer, pauses, and
//     sends the next. FIRST is the number of the first client. Prints a line for each request without a 200 and a line
//     with the counts.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::string_view kHost = "shop.example";
constexpr milliseconds kDeadline{3000};
/// Time for which a client lets a connection be established.
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kCheckInterval{1000};
constexpr int kMissesUntilOut = 2;

auto Token(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

tcp::endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.find(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

std::string FindField(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

asio::awaitable<void> Sleep(Clock::duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

// --- Target -----------------------------------------------------------------

struct Target {
  std::string id;
  int slots = 1;
  milliseconds work{};
  int running = 0;
  std::vector<std::string> runs;

  std::string Load() const {
    return std::to_string(running) + ",0," + std::to_string(slots) + ",100";
  }
};

asio::awaitable<void> ServeConnection(Target& target, tcp::socket socket) {
  std::string buffer;
  error_code error;
  for (;;) {
    const std::size_t size = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(buffer), "\r\n\r\n", Token(error));
    if (error) {
      co_return;
    }
    const std::string head = buffer.substr(0, size);
    buffer.erase(0, size);
    std::string answer;
    const std::string id = FindField(head, "Request-Id");
    const std::string expected = FindField(head, "Expect-Instance");
    if (head.starts_with("GET /health ")) {
      answer = "HTTP/1.1 200 OK\r\nInstance-Id: " + target.id;
    } else if (!expected.empty() && expected != target.id) {
      answer = "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
               "\r\nInstance-Id: " + target.id;
    } else if (target.running >= target.slots) {
      answer = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
               "\r\nNot-Executed: 1";
    } else {
      target.runs.push_back(id);
      ++target.running;
      co_await Sleep(target.work);
      --target.running;
      answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
               "\r\nResponse-Stamp: " + target.id + "." + id;
    }
    answer += "\r\nServer-Load: " + target.Load() +
              "\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(answer), Token(error));
    if (error) {
      co_return;
    }
  }
}

asio::awaitable<void> Accept(Target& target, tcp::acceptor& acceptor) {
  for (;;) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(acceptor.get_executor(),
                   ServeConnection(target, std::move(socket)), asio::detached);
  }
}

int RunTarget(const std::vector<std::string>& arguments) {
  asio::io_context io(1);
  Target target;
  target.id = arguments[1];
  target.slots = std::stoi(arguments[2]);
  target.work = milliseconds(std::stoi(arguments[3]));
  tcp::acceptor acceptor(io, ParseEndpoint(arguments[0]));
  asio::co_spawn(io, Accept(target, acceptor), asio::detached);
  asio::signal_set signals(io, SIGTERM);
  signals.async_wait([&](const error_code&, int) { io.stop(); });
  io.run();
  std::ofstream file(arguments[4]);
  for (const std::string& id : target.runs) {
    file << id << "\n";
  }
  return 0;
}

// --- Entry and clients ------------------------------------------------------

struct Daemon {
  tcp::endpoint front;
  tcp::endpoint ready;
  int misses = 0;
  bool in_rotation = true;
};

struct Swarm {
  std::vector<Daemon> daemons;
  Clock::time_point start = Clock::now();
  Clock::time_point end;
  milliseconds think{};
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_connected = 0;
  std::uint64_t other = 0;

  double Seconds(Clock::time_point at) const {
    return std::chrono::duration<double>(at - start).count();
  }

  /// The daemon that gets a client's next connection (PROTOCOL.md, Ingress).
  const Daemon& Choose(std::size_t client) const {
    std::vector<const Daemon*> usable;
    for (const Daemon& daemon : daemons) {
      if (daemon.in_rotation) {
        usable.push_back(&daemon);
      }
    }
    if (2 * usable.size() < daemons.size()) {
      usable.clear();
      for (const Daemon& daemon : daemons) {
        usable.push_back(&daemon);
      }
    }
    std::mt19937_64 hash(client);
    return *usable[hash() % usable.size()];
  }
};

asio::awaitable<bool> IsReady(tcp::endpoint address) {
  tcp::socket socket(co_await asio::this_coro::executor);
  error_code error;
  co_await socket.async_connect(address, Token(error));
  if (error) {
    co_return false;
  }
  const std::string request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
  co_await asio::async_write(socket, asio::buffer(request), Token(error));
  std::string answer;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(answer),
                                  "\r\n\r\n", Token(error));
  co_return !error && answer.starts_with("HTTP/1.1 200 ");
}

asio::awaitable<void> CheckReady(Swarm& swarm, Daemon& daemon, int number) {
  // The platform asks the daemons one after the other.
  co_await Sleep(kCheckInterval * number / (swarm.daemons.size() + 1));
  auto next = Clock::now();
  while (next < swarm.end) {
    const auto first = co_await (IsReady(daemon.ready) ||
                                 Sleep(kCheckInterval * 9 / 10));
    const bool ready = first.index() == 0 && std::get<0>(first);
    daemon.misses = ready ? 0 : daemon.misses + 1;
    const bool in = daemon.misses < kMissesUntilOut;
    if (in != daemon.in_rotation) {
      std::printf("entry vm=%d in_rotation=%d at=%.3f\n", number, in,
                  swarm.Seconds(Clock::now()));
    }
    daemon.in_rotation = in;
    next += kCheckInterval;
    co_await Sleep(next - Clock::now());
  }
}

struct Attempt {
  bool connected = false;
  std::string answer;
};

asio::awaitable<void> Connect(tcp::socket& socket, tcp::endpoint front,
                              bool& connected) {
  error_code error;
  co_await socket.async_connect(front, Token(error));
  connected = !error;
}

asio::awaitable<void> Exchange(tcp::socket& socket, const std::string& request,
                               std::string& answer) {
  error_code error;
  co_await asio::async_write(socket, asio::buffer(request), Token(error));
  co_await asio::async_read_until(socket, asio::dynamic_buffer(answer),
                                  "\r\n\r\n", Token(error));
}

asio::awaitable<void> RunClient(Swarm& swarm, std::size_t client) {
  std::mt19937_64 random(client * 7919 + 1);
  std::uniform_int_distribution<int> think_us(
      0, static_cast<int>(2000 * swarm.think.count()));
  for (std::uint64_t number = 0; Clock::now() < swarm.end; ++number) {
    co_await Sleep(std::chrono::microseconds(think_us(random)));
    const Daemon& daemon = swarm.Choose(client);
    tcp::socket socket(co_await asio::this_coro::executor);
    bool connected = false;
    co_await (Connect(socket, daemon.front, connected) ||
              Sleep(kConnectTimeout));
    if (!connected) {
      ++swarm.not_connected;
      co_await Sleep(milliseconds(20));
      continue;
    }
    char id[32];
    std::snprintf(id, sizeof(id), "%04zx%012llx", client,
                  static_cast<unsigned long long>(number));
    const std::string request =
        "POST /orders/x HTTP/1.1\r\nHost: " + std::string(kHost) +
        "\r\nRequest-Id: " + id +
        "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) +
        "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    const auto sent = Clock::now();
    ++swarm.sent;
    std::string answer;
    co_await (Exchange(socket, request, answer) || Sleep(kDeadline));
    if (answer.starts_with("HTTP/1.1 200 ") &&
        FindField(answer, "Request-Id") == id) {
      ++swarm.answered;
      continue;
    }
    ++swarm.other;
    const auto now = Clock::now();
    std::printf("order id=%s vm=%zu sent=%.4f ended=%.4f answer=%s\n", id,
                static_cast<std::size_t>(&daemon - swarm.daemons.data() + 1),
                swarm.Seconds(sent), swarm.Seconds(now),
                answer.empty() ? "none" : answer.substr(9, 3).c_str());
  }
}

int RunClients(const std::vector<std::string>& arguments) {
  asio::io_context io(1);
  Swarm swarm;
  const std::size_t first = std::stoul(arguments[0]);
  const std::size_t clients = std::stoul(arguments[1]);
  swarm.end = swarm.start + std::chrono::seconds(std::stoi(arguments[2]));
  swarm.think = milliseconds(std::stoi(arguments[3]));
  for (std::size_t index = 4; index < arguments.size(); ++index) {
    const std::size_t comma = arguments[index].find(',');
    swarm.daemons.push_back(
        {ParseEndpoint(arguments[index].substr(0, comma)),
         ParseEndpoint(arguments[index].substr(comma + 1))});
  }
  int number = 0;
  for (Daemon& daemon : swarm.daemons) {
    asio::co_spawn(io, CheckReady(swarm, daemon, ++number), asio::detached);
  }
  for (std::size_t client = 0; client < clients; ++client) {
    asio::co_spawn(io, RunClient(swarm, first + client), asio::detached);
  }
  io.run();
  std::printf("count sent=%llu answered=%llu other=%llu not_connected=%llu\n",
              static_cast<unsigned long long>(swarm.sent),
              static_cast<unsigned long long>(swarm.answered),
              static_cast<unsigned long long>(swarm.other),
              static_cast<unsigned long long>(swarm.not_connected));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 6 && arguments[0] == "target") {
    return RunTarget({arguments.begin() + 1, arguments.end()});
  }
  if (arguments.size() >= 6 && arguments[0] == "clients") {
    return RunClients({arguments.begin() + 1, arguments.end()});
  }
  std::cerr << "see the head of swarm.cc\n";
  return 2;
}
