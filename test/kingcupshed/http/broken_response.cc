// Bytes of targets that are no whole response of HTTP. No caller gets them as a
// response: they are a failure of the target.
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "support/routed_server_rig.h"

namespace kingcupshed::http {

namespace {

using support::RoutedServerRig;
using support::ScriptedResponse;

constexpr std::string_view kOwnFields =
    "Request-Id: {id}\r\nResponse-Stamp: s\r\n";

/// Statuses that no final response has. After 101 a connection would no longer
/// carry HTTP, and no request asks for that.
constexpr std::array<std::string_view, 6> kNoStatuses{"000", "001", "099",
                                                      "101", "600", "999"};

/// Lines of a head whose field name is empty, or holds a blank or a control
/// byte.
const std::array<std::string, 9> kNoFields{
    "X Y: z",  "X : z",     " X: z",     "\tX: z",
    "X\tY: z", "X\x01Y: z", "X\x7fY: z", std::string("X\0Y: z", 6),
    ": z"};

std::string Get(std::string_view id = "r1") {
  return RoutedServerRig::MakeRequest("GET", "/read/x", id);
}

std::string Post(std::string_view id = "r1") {
  return RoutedServerRig::MakeRequest("POST", "/write/x", id, "payload");
}

std::string StatusOf(const std::string& response) {
  return response.size() < 12 ? "none" : response.substr(9, 3);
}

std::string WithStatus(std::string_view status) {
  return "HTTP/1.1 " + std::string(status) + " Odd\r\n" +
         std::string(kOwnFields) + "Content-Length: 4\r\n\r\nodd!";
}

std::string WithLine(std::string_view line) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kOwnFields) + std::string(line) +
         "\r\nContent-Length: 4\r\n\r\nodd!";
}

/// Checks what callers get when a target sends something that is no response
/// and keeps its connection open.
void CheckIsTargetFailure(const std::string& bytes) {
  RoutedServerRig rig(2);
  rig.AddScriptedResponse({bytes});
  const std::string read = rig.Exchange(Get());
  BOOST_TEST(StatusOf(read) == "200");
  BOOST_TEST(read.ends_with("\r\n\r\nfine"));
  BOOST_TEST(rig.requests().size() == 2U);
  rig.AddScriptedResponse({bytes});
  BOOST_TEST(StatusOf(rig.Exchange(Post("r2"))) == "502");
  BOOST_TEST(rig.requests().size() == 3U);
}

/// Checks that a connection isn't used again after something that is no
/// response.
void CheckClosesConnection(const std::string& bytes) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse({bytes});
  (void)rig.Exchange(Post());
  BOOST_TEST(StatusOf(rig.Exchange(Post("r2"))) == "200");
  BOOST_REQUIRE_EQUAL(rig.request_connections().size(), 2U);
  BOOST_TEST(rig.request_connections()[0] != rig.request_connections()[1]);
}

/// Returns the head of a request with a body too long to be buffered, and the
/// start of that body.
std::string StartOfUpload(std::string_view path,
                          std::size_t length,
                          std::size_t sent) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
         "Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

/// Sends a long upload to a target that responds at once and resets the
/// connection meanwhile.
std::string UploadIntoReset(std::string_view path, const std::string& bytes) {
  constexpr std::size_t kLength = 400'000;
  constexpr std::size_t kFirstPart = 150'000;
  RoutedServerRig rig(1);
  rig.SetRouteTimeout(std::chrono::seconds(2));
  rig.AddScriptedResponse({.bytes = bytes, .reset = true, .before_body = true});
  const auto response =
      rig.StartExchangeAroundReset(StartOfUpload(path, kLength, kFirstPart),
                                   std::string(kLength - kFirstPart, 'x'));
  rig.RunUntil([&] { return response->second; });
  BOOST_TEST(rig.requests().size() == 1U);
  return response->first;
}

std::optional<ProbeOutcome> ProbeWith(const std::string& bytes) {
  RoutedServerRig rig(1);
  rig.SetHealthResponse(bytes);
  std::optional<ProbeOutcome> outcome;
  rig.server().Probe({rig.target(0), "/health", std::chrono::milliseconds(300)},
                     [&](const ProbeOutcome& ended) { outcome = ended; });
  rig.RunUntil([&] { return outcome.has_value(); });
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BrokenResponseTest)

// The failed write took the reset from the socket, so reading went on to an
// ordinary end, and the part of the body that had come passed for the whole.
BOOST_AUTO_TEST_CASE(ResponseWithoutLengthCutByAResetDuringTheUpload) {
  const std::string part =
      "HTTP/1.1 200 OK\r\n" + std::string(kOwnFields) + "\r\n";
  for (const std::size_t size : {0U, 4U, 100'000U, 300'000U}) {
    const std::string bytes = part + std::string(size, 'p');
    BOOST_TEST_CONTEXT(size << " bytes") {
      BOOST_TEST(StatusOf(UploadIntoReset("/write/x", bytes)) == "502");
      BOOST_TEST(StatusOf(UploadIntoReset("/read/x", bytes)) != "200");
    }
  }
}

// A response whose length shows that it is whole stays one.
BOOST_AUTO_TEST_CASE(ResponseWithLengthBeforeAResetDuringTheUpload) {
  const std::string response =
      UploadIntoReset("/write/x", RoutedServerRig::MakeResponse("early"));
  BOOST_TEST(StatusOf(response) == "200");
  BOOST_TEST(response.ends_with("\r\n\r\nearly"));
}

// That the work was not run stands in the head.
BOOST_AUTO_TEST_CASE(RefusalWithoutLengthBeforeAResetDuringTheUpload) {
  BOOST_TEST(StatusOf(UploadIntoReset("/write/x",
                                      "HTTP/1.1 503 Full\r\n"
                                      "Request-Id: {id}\r\n"
                                      "Not-Executed: 1\r\n\r\nfull")) == "503");
}

BOOST_AUTO_TEST_CASE(ResponseWithoutLengthCutByAResetAfterTheUpload) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {.bytes = "HTTP/1.1 200 OK\r\n" + std::string(kOwnFields) + "\r\npart",
       .reset = true});
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "502");
}

BOOST_AUTO_TEST_CASE(StatusThatNoFinalResponseHas) {
  for (const std::string_view status : kNoStatuses) {
    BOOST_TEST_CONTEXT(status) {
      CheckIsTargetFailure(WithStatus(status));
      CheckClosesConnection(WithStatus(status));
    }
  }
}

// A head with such a status used to be skipped like an interim response, and
// what followed it was read as the response.
BOOST_AUTO_TEST_CASE(BytesAfterAStatusOf000AreNoResponse) {
  CheckIsTargetFailure("HTTP/1.1 000 Odd\r\n" + std::string(kOwnFields) +
                       "\r\n" + RoutedServerRig::MakeResponse("odd!"));
}

BOOST_AUTO_TEST_CASE(FieldNameWithABlankOrAControlByte) {
  for (const std::string& line : kNoFields) {
    BOOST_TEST_CONTEXT(line) {
      CheckIsTargetFailure(WithLine(line));
      CheckClosesConnection(WithLine(line));
      CheckIsTargetFailure("HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line +
                           "\r\n\r\n" + RoutedServerRig::MakeResponse("odd!"));
    }
  }
}

BOOST_AUTO_TEST_CASE(TransferCodingThatEndsWithTheConnection) {
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + std::string(kOwnFields) + "Transfer-Encoding: ";
  for (const std::string_view coding : {"gzip", "gzip, chunked", "identity"}) {
    BOOST_TEST_CONTEXT(coding) {
      RoutedServerRig rig(1);
      rig.AddScriptedResponse({.bytes = head + std::string(coding) +
                                        "\r\n\r\n4\r\nodd!\r\n0\r\n\r\n",
                               .close = true});
      BOOST_TEST(StatusOf(rig.Exchange(Post())) == "502");
    }
  }
}

BOOST_AUTO_TEST_CASE(HealthCheckWithABrokenResponse) {
  const auto respond = [](std::string_view status, std::string_view line) {
    return "HTTP/1.1 " + std::string(status) +
           " OK\r\nInstance-Id: {name}\r\n" + std::string(line) +
           "Content-Length: 0\r\n\r\n";
  };
  BOOST_TEST(ProbeWith(respond("200", ""))->responded);
  BOOST_TEST(ProbeWith(respond("503", ""))->responded);
  for (const std::string_view status : kNoStatuses) {
    BOOST_TEST(!ProbeWith(respond(status, ""))->responded, status);
  }
  for (const std::string& line : kNoFields) {
    BOOST_TEST(!ProbeWith(respond("200", line + "\r\n"))->responded, line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
