#include "testing/crowd/peer_script.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolewalk::crowd {

namespace {

constexpr std::size_t kMiB = 1024UL * 1024;
// On each of four connections: several times the memory of a process.
constexpr std::size_t kEndless = 64 * kMiB;
// Under the body that the servers take.
constexpr std::size_t kBody = kMiB - 64UL * 1024;
// More than a process has descriptors for.
constexpr std::size_t kManyConnections = 600;

std::string
Repeat(std::string_view aText, std::size_t aBytes)
{
  std::string text;
  text.reserve(aBytes + aText.size());
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

std::string
Post(const std::string& aHeaders)
{
  return "POST /fees/0123456789abcdef HTTP/1.1\r\nHost: soak.example\r\n" +
         aHeaders + "\r\n";
}

std::string
PostOf(const std::string& aBody)
{
  return Post("Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         aBody;
}

// A job of its own.
std::string
PostJob(int aNumber, const std::string& aBody)
{
  std::string id = std::to_string(aNumber);
  id.insert(0, 16 - id.size(), '0');
  return "POST /fees/" + id +
         " HTTP/1.1\r\nHost: soak.example\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// An upkeep of many machines.
std::string
PostWave(int aNumber)
{
  std::string body = R"({"wave":)" + std::to_string(aNumber) +
                     R"(,"durationS":1000,"maxCount":1,"machines":["m")";
  for (int machine = 0; machine < 80'000; ++machine) {
    body += ",\"m" + std::to_string(machine) + "\"";
  }
  body += "]}";
  return "POST /v1/wave-start HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A job of a cell of its own.
std::string
PostCellJob(int aNumber)
{
  const std::string body =
    R"({"kind":"batch","tasks":10000,"milli_processors":1000,"memory_mb":64,)"
    R"("expected_ms":1000})";
  return "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k" +
         std::to_string(aNumber) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";

// The frame of a Cap'n Proto message of one segment.
std::string
SegmentTable(std::uint32_t aWords)
{
  std::string table(8, '\0');
  for (std::size_t at = 0; at < 4; ++at) {
    table[4 + at] = static_cast<char>((aWords >> (8 * at)) & 0xffU);
  }
  return table;
}

std::string
InventedHeartbeat(const std::string& aId)
{
  const std::string body = WriteHeartbeat("invented", "127.0.0.1:1", 1);
  return "POST /v1/instances/" + aId +
         "/heartbeat HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The same bytes to the callers' and to the workers' address.
void
AddToBoth(std::vector<peer_script>& aScripts, peer_script aScript)
{
  peer_script control = aScript;
  control.mName += "-control";
  control.mPlace = place::Control;
  aScripts.push_back(std::move(aScript));
  aScripts.push_back(std::move(control));
}

std::vector<peer_script>
OneRequest()
{
  const std::string fields = Repeat("X-Field: 0123456789abcdef\r\n", 16'000);
  const std::string text(16'000, 'x');
  std::vector<peer_script> scripts;
  AddToBoth(scripts,
            { .mName = "trailers",
              .mOpening = Post(kChunked) + "0\r\n",
              .mRepeated = fields,
              .mBytes = kEndless });
  AddToBoth(scripts,
            { .mName = "trailer-line",
              .mOpening = Post(kChunked) + "0\r\nX-Field: ",
              .mRepeated = text,
              .mBytes = kEndless });
  AddToBoth(scripts,
            { .mName = "fields",
              .mOpening = "GET /fees/0123456789abcdef HTTP/1.1\r\n",
              .mRepeated = fields,
              .mBytes = kEndless });
  // In small pieces, of which each ends with a whole field.
  AddToBoth(scripts,
            { .mName = "fields-in-pieces",
              .mOpening = "GET /fees/0123456789abcdef HTTP/1.1\r\n",
              .mRepeated = Repeat("X-Field: 0123456789abcdef\r\n", 500),
              .mConnections = 16,
              .mBytes = 16 * kMiB,
              .mReopens = 32 });
  AddToBoth(scripts,
            { .mName = "field-line",
              .mOpening = "GET /fees/0123456789abcdef HTTP/1.1\r\nX-Field: ",
              .mRepeated = text,
              .mBytes = kEndless });
  AddToBoth(scripts,
            { .mName = "start-line",
              .mOpening = "GET /",
              .mRepeated = text,
              .mBytes = kEndless });
  AddToBoth(scripts,
            { .mName = "chunk-extension",
              .mOpening = Post(kChunked) + "1;",
              .mRepeated = text,
              .mBytes = kEndless });
  AddToBoth(scripts,
            { .mName = "chunk-size",
              .mOpening = Post(kChunked),
              .mRepeated = std::string(16'000, '0'),
              .mBytes = kEndless });
  // Small fields: 4 bytes on the wire, a record of the parser each. The bodies
  // stay short of their end.
  AddToBoth(
    scripts,
    { .mName = "many-fields",
      .mOpening =
        Post(Repeat("a:\r\n", 15'000) + "Content-Length: 1000\r\n") + "{",
      .mConnections = 200,
      .mReopens = 400 });
  AddToBoth(scripts,
            { .mName = "pipelined",
              .mRepeated = Repeat("GET /fees/0123456789abcdef HTTP/1.1\r\n"
                                  "Host: soak.example\r\n\r\n",
                                  16'000),
              .mConnections = 100,
              .mBytes = 4 * kMiB,
              .mReads = false });
  // Each write ends with a header whose body is in the next one, so that each
  // asks for an interim answer.
  const std::string expecting =
    Post("Expect: 100-continue\r\nContent-Length: 1\r\n");
  AddToBoth(scripts,
            { .mName = "interim-answers-unread",
              .mOpening = expecting,
              .mRepeated = "x" + expecting,
              .mConnections = 16,
              .mBytes = 8 * kMiB,
              .mReads = false });
  return scripts;
}

std::vector<peer_script>
AllConnections()
{
  std::vector<peer_script> scripts;
  AddToBoth(scripts,
            { .mName = "bodies-in-progress",
              .mOpening = Post("Content-Length: 1048576\r\n"),
              .mRepeated = std::string(16UL * 1024, ' '),
              .mConnections = 150,
              .mBytes = kBody,
              .mReopens = 300 });
  AddToBoth(scripts,
            { .mName = "chunked-bodies-in-progress",
              .mOpening = Post(kChunked),
              .mRepeated = "4000\r\n" + std::string(16UL * 1024, ' ') + "\r\n",
              .mConnections = 150,
              .mBytes = kBody,
              .mReopens = 300 });
  AddToBoth(
    scripts,
    { .mName = "silent", .mConnections = kManyConnections, .mReopens = 600 });
  AddToBoth(scripts,
            { .mName = "half-headers",
              .mOpening = "GET /fees/0123456789abcdef HTTP/1.1\r\nHost: ",
              .mConnections = kManyConnections,
              .mReopens = 600 });
  scripts.push_back({ .mName = "answers-unread",
                      .mPlace = place::Control,
                      .mRepeated = "GET /v1/config/get HTTP/1.1\r\n"
                                   "Host: a\r\n\r\n",
                      .mConnections = 100,
                      .mBytes = 8'000,
                      .mReads = false,
                      .mReopens = 200,
                      .mTablePadding = kBody });
  return scripts;
}

std::vector<peer_script>
OtherListeners()
{
  std::vector<peer_script> scripts;
  for (const auto& [name, where] : { std::pair{ "readiness", place::Readiness },
                                     { "metrics", place::Metrics },
                                     { "internal", place::Internal } }) {
    scripts.push_back({ .mName = std::string("silent-") + name,
                        .mPlace = where,
                        .mConnections = kManyConnections,
                        .mReopens = 600 });
    scripts.push_back(
      { .mName = std::string("trailers-") + name,
        .mPlace = where,
        .mOpening = Post(kChunked) + "0\r\n",
        .mRepeated = Repeat("X-Field: 0123456789abcdef\r\n", 16'000),
        .mBytes = kEndless });
    scripts.push_back({ .mName = std::string("half-headers-") + name,
                        .mPlace = where,
                        .mOpening = "GET / HTTP/1.1\r\nHost: ",
                        .mConnections = kManyConnections,
                        .mReopens = 600 });
  }
  // 60 MiB, under the library's own limit for a message.
  constexpr std::uint32_t kWords = 60U * 1024 * 1024 / 8;
  scripts.push_back({ .mName = "large-messages-internal",
                      .mPlace = place::Internal,
                      .mOpening = SegmentTable(kWords),
                      .mRepeated = std::string(16UL * 1024, '\0'),
                      .mConnections = 8,
                      .mBytes = 59 * kMiB });
  // Of the size of a large one of ours, on many connections.
  scripts.push_back({ .mName = "messages-in-progress-internal",
                      .mPlace = place::Internal,
                      .mOpening = SegmentTable(512U * 1024),
                      .mRepeated = std::string(16UL * 1024, '\0'),
                      .mConnections = 40,
                      .mBytes = 4 * kMiB - 16UL * 1024,
                      .mReopens = 80 });
  // Each whole and of no use: the frame says 8 KiB of zeros.
  scripts.push_back(
    { .mName = "empty-messages-internal",
      .mPlace = place::Internal,
      .mRepeated = SegmentTable(1024) + std::string(8UL * 1024, '\0'),
      .mConnections = 8,
      .mBytes = 32 * kMiB });
  scripts.push_back(
    { .mName = "noise-internal",
      .mPlace = place::Internal,
      .mRepeated = Repeat("\x7f\x03\x11\xfe\x80\x01\x05", 8'192),
      .mConnections = 8,
      .mBytes = kMiB,
      .mReopens = 1'000 });
  return scripts;
}

std::vector<peer_script>
WhatWeCall()
{
  const std::string fields = Repeat("X-Field: 0123456789abcdef\r\n", 16'000);
  std::vector<peer_script> scripts;
  scripts.push_back(
    { .mName = "trailers-worker",
      .mPlace = place::Worker,
      .mOpening = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      .mRepeated = fields,
      .mBytes = 2 * kEndless });
  scripts.push_back({ .mName = "fields-worker",
                      .mPlace = place::Worker,
                      .mOpening = "HTTP/1.1 200 OK\r\n",
                      .mRepeated = fields,
                      .mBytes = 2 * kEndless });
  scripts.push_back(
    { .mName = "interim-answers-worker",
      .mPlace = place::Worker,
      .mRepeated = Repeat("HTTP/1.1 100 Continue\r\n\r\n", 16'000),
      .mBytes = kEndless });
  return scripts;
}

std::vector<peer_script>
AfterTheParser()
{
  std::vector<peer_script> scripts;
  // Three bytes of the body become a record of a step.
  const std::string steps =
    R"({"spec":"","steps":[)" + Repeat("{},", kBody) + "{}]}";
  scripts.push_back({ .mName = "many-steps",
                      .mOpening = PostOf(steps),
                      .mConnections = 16,
                      .mReopens = 32 });
  std::string depends = R"({"spec":"","steps":[{"count":1},{"count":1,)"
                        R"("dependsOn":[)";
  depends += Repeat("0,", kBody) + "0]}]}";
  scripts.push_back({ .mName = "many-dependencies",
                      .mOpening = PostOf(depends),
                      .mConnections = 16,
                      .mReopens = 32 });
  scripts.push_back(
    { .mName = "deep",
      .mOpening = PostOf(R"({"steps":)" + std::string(kBody, '[')),
      .mConnections = 16,
      .mReopens = 32 });
  std::string lists = R"({"steps":[)" + Repeat("[],", kBody) + "[]]}";
  scripts.push_back({ .mName = "many-lists",
                      .mOpening = PostOf(lists),
                      .mConnections = 16,
                      .mReopens = 32 });
  // A few bytes that ask for millions of tasks.
  std::string jobs;
  for (int number = 0; number < 200; ++number) {
    jobs += PostJob(number,
                    R"({"spec":"","steps":[{"count":100000,"cpu":1,"memMb":1,)"
                    R"("estMs":1000}]})");
  }
  scripts.push_back(
    { .mName = "many-tasks", .mOpening = std::move(jobs), .mConnections = 1 });
  std::string ends;
  for (const std::string_view number : { "9223372036854775807",
                                         "-9223372036854775808",
                                         "18446744073709551615",
                                         "1e308",
                                         "-1e308" }) {
    for (const std::string_view field :
         { "cpu", "memMb", "gpu", "estMs", "antiAffinity", "mayMiss" }) {
      ends +=
        PostJob(static_cast<int>(ends.size()),
                R"({"spec":"","steps":[{"count":1,")" + std::string(field) +
                  "\":" + std::string(number) + "}]}");
    }
    ends += "GET /fees/0123456789abcdef HTTP/1.1\r\nHost: soak.example\r\n"
            "X-Oriolewalk-Deadline-Ms: " +
            std::string(number) + "\r\n\r\n";
  }
  scripts.push_back({ .mName = "numbers-at-their-ends",
                      .mOpening = std::move(ends),
                      .mConnections = 1 });
  std::string waves;
  for (int number = 1; number <= 40; ++number) {
    waves += PostWave(number);
  }
  scripts.push_back({ .mName = "many-waves",
                      .mPlace = place::Control,
                      .mOpening = std::move(waves),
                      .mConnections = 1 });
  std::string names;
  for (int number = 0; number < 20'000; ++number) {
    names += InventedHeartbeat("invented-" + std::to_string(number));
  }
  scripts.push_back({ .mName = "invented-workers",
                      .mPlace = place::Control,
                      .mOpening = std::move(names),
                      .mConnections = 1 });
  const std::string labels =
    R"({"service":"s","address":"127.0.0.1:1","zone":"a","version":"1",)"
    R"("slots":8,"state":"ready","seq":1,"clockMs":1,)"
    R"("capacity":{"cpu":1000,"memMb":1000},"labels":[)" +
    Repeat("\"\",", kBody - 1'000) + R"(""]})";
  scripts.push_back(
    { .mName = "many-labels",
      .mPlace = place::Control,
      .mOpening = "POST /v1/instances/labelled/heartbeat HTTP/1.1\r\n"
                  "Host: a\r\nContent-Length: " +
                  std::to_string(labels.size()) + "\r\n\r\n" + labels,
      .mConnections = 16,
      .mReopens = 32 });
  for (peer_script& one : scripts) {
    one.mFor = system_kind::Platform;
  }
  return scripts;
}

} // namespace

std::string
WriteHeartbeat(std::string_view aService,
               std::string_view aAddress,
               std::uint64_t aSequence)
{
  const std::string sequence = std::to_string(aSequence);
  return R"({"service":")" + std::string(aService) + R"(","address":")" +
         std::string(aAddress) + R"(","zone":"a","version":"1","slots":8,)" +
         R"("state":"ready","seq":)" + sequence + R"(,"clockMs":)" + sequence +
         R"(,"labels":["a","r"],"capacity":{"cpu":32000,"memMb":64000}})";
}

std::vector<peer_script>
PeerScripts()
{
  std::vector<peer_script> all;
  std::string jobs;
  for (int number = 0; number < 1'000; ++number) {
    jobs += PostCellJob(number);
  }
  all.push_back({ .mName = "many-tasks-of-a-cell",
                  .mOpening = std::move(jobs),
                  .mConnections = 1,
                  .mFor = system_kind::Cell });
  for (auto& part : { OneRequest(),
                      AllConnections(),
                      OtherListeners(),
                      WhatWeCall(),
                      AfterTheParser() }) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

std::vector<peer_script>
SoakScripts()
{
  std::vector<peer_script> all;
  for (auto& part : { OneRequest(), AllConnections(), OtherListeners() }) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

} // namespace oriolewalk::crowd
