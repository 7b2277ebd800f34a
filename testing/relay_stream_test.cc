#include "daemon/relay_stream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace clementine {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
         "\n\n";
}

std::string Events(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) text += Event(id);
  return text;
}

}  // namespace

// Guards against a stream that is resumed inside an incomplete event.
TEST_CASE("relay stream resumes after the last complete event") {
  RelayStream stream;
  std::string out = stream.ExtractEvents(Events(1, 2) + "id: 3\ndata: par");
  CHECK(out == Events(1, 2));
  CHECK(stream.last_id() == "2");
  stream.Restart();
  out += stream.ExtractEvents(Events(3, 4));
  CHECK(out == Events(1, 4));
  CHECK(stream.events() == 4);
}

// Guards against events that are delivered twice, and against missing events.
TEST_CASE("relay stream drops repeated events and stops at a gap") {
  RelayStream stream;
  std::string out = stream.ExtractEvents(Events(1, 3));
  stream.Restart();
  out += stream.ExtractEvents(Events(2, 4));
  CHECK(out == Events(1, 4));
  stream.Restart();
  CHECK(stream.ExtractEvents(Event(6)).empty());
  CHECK(stream.broken());
  CHECK(stream.Finish().empty());
}

// Guards against another server's error text inside a stream, and against a
// stream that ends as complete without its last events.
TEST_CASE("relay stream resumes only with consecutive events") {
  for (const std::string& foreign :
       {std::string("data: upstream failed\n\n"),
        std::string("HTTP/1.1 502 Bad Gateway\n\n"),
        std::string("{\"error\":\"overloaded\"}"), std::string()}) {
    CAPTURE(foreign);
    RelayStream stream;
    stream.ExtractEvents(Events(1, 3));
    stream.Restart();
    CHECK(stream.ExtractEvents(foreign).empty());
    CHECK(stream.Finish().empty());
    CHECK_FALSE(stream.CanEnd());
  }
  RelayStream stream;
  stream.ExtractEvents(Events(1, 3));
  CHECK(stream.CanEnd());
  stream.Restart();
  stream.ExtractEvents(Events(2, 3));
  CHECK_FALSE(stream.CanEnd());
  stream.ExtractEvents(Event(4));
  CHECK(stream.CanEnd());
}

// Guards against results that depend on how the bytes are split on the network.
TEST_CASE(
    "relay stream delivers the same bytes regardless of how it is split") {
  CHECK(rc::check([] {
    // A stream that ends inside an event was broken off.
    auto part = *rc::gen::element<std::string>("", "data: end", "i", "id: 7\n");
    std::string text = Events(1, 6) + part;
    RelayStream stream;
    std::string out;
    while (!text.empty()) {
      auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      out += stream.ExtractEvents(text.substr(0, size));
      text.erase(0, size);
    }
    out += stream.Finish();
    RC_ASSERT(out == Events(1, 6));
    RC_ASSERT(stream.events() == 6);
    RC_ASSERT(stream.CanEnd() == part.empty());
  }));
}

}  // namespace clementine
