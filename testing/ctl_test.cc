#include "ctl/ctl.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>

#include "ctl/status_document.h"

using clementine::ConfigHead;
using clementine::ObjectReply;
using clementine::ObjectStatus;
using clementine::PutObject;
using namespace clementine::ctl;  // NOLINT(google-build-using-namespace)

namespace {

const char kModel[] = "[model m]\nversion = 1\nweights = w\n";
const char kGroup[] = "[group g]\nmodel = m\ndata_centre = attica-1\n";

// Objects in memory, faults on demand, and everything that was printed.
class FakeSession {
 public:
  FakeSession() {
    session.out = [this](const std::string& line) { out += line + "\n"; };
    session.error = [this](const std::string& line) { error += line + "\n"; };
    session.get = [this](const std::string& key) { return Get(key); };
    session.put = [this](const PutObject& put) { return Put(put); };
    session.list = [this](const std::string& prefix) { return List(prefix); };
    session.now = [this] { return now; };
    session.sleep = [this](clementine::milliseconds time) {
      now += time;
      if (on_sleep) on_sleep();
    };
    session.new_apply_id = [this] { return "id-" + std::to_string(++ids); };
    file = std::filesystem::temp_directory_path() /
           ("ctl_test_" + std::to_string(getpid()) + ".ini");
  }
  ~FakeSession() { std::filesystem::remove(file); }
  FakeSession(const FakeSession&) = delete;
  FakeSession& operator=(const FakeSession&) = delete;

  int ApplyText(const std::string& text, bool wait = false) {
    Write(text);
    ApplyOptions options;
    options.files = {file.string()};
    options.author = "nikos";
    options.wait = wait;
    options.expect = expect;
    return Apply(options, session);
  }
  void Write(const std::string& text) { std::ofstream(file) << text; }

  // As if another operator applied something.
  void ApplyByOther() {
    ConfigHead head;
    if (objects.count(kHeadKey) != 0) head = Head();
    head.earlier_applies.insert(head.earlier_applies.begin(), head.apply_id);
    ++head.generation;
    head.apply_id = "other-" + std::to_string(head.generation);
    head.author = "maria";
    head.sections["model z"] = "0";
    Store(kHeadKey, clementine::EncodeHead(head));
  }
  void Store(const std::string& key, const std::string& value) {
    objects[key].first += 1;
    objects[key].second = value;
  }
  ConfigHead Head() {
    return clementine::DecodeHead(objects.at(kHeadKey).second);
  }

  Session session;
  std::map<std::string, std::pair<std::uint64_t, std::string>> objects;
  std::string out;
  std::string error;
  clementine::TimePoint now;
  int ids = 0;
  std::optional<std::uint64_t> expect;
  bool down = false;
  int lose_head_answers = 0;   // Applied, answer lost.
  int lose_head_requests = 0;  // Not applied, answer lost.
  std::function<void()> before_head_put;
  std::function<void()> on_sleep;
  std::filesystem::path file;

 private:
  ObjectReply Get(const std::string& key) {
    if (down) return {0, ObjectStatus::kUnavailable, 0, ""};
    auto found = objects.find(key);
    if (found == objects.end()) return {0, ObjectStatus::kNotFound, 0, ""};
    return {0, ObjectStatus::kOk, found->second.first, found->second.second};
  }

  ObjectReply Put(const PutObject& put) {
    if (down) return {0, ObjectStatus::kUnavailable, 0, ""};
    bool head = put.key == kHeadKey;
    if (head && before_head_put) std::exchange(before_head_put, {})();
    if (head && lose_head_requests > 0) {
      --lose_head_requests;
      return {0, ObjectStatus::kUnknown, 0, ""};
    }
    auto found = objects.find(put.key);
    std::uint64_t version = found == objects.end() ? 0 : found->second.first;
    if (version != put.if_version) {
      return {0, ObjectStatus::kConflict, version, found->second.second};
    }
    Store(put.key, put.value);
    if (head && lose_head_answers > 0) {
      --lose_head_answers;
      return {0, ObjectStatus::kUnknown, 0, ""};
    }
    return {0, ObjectStatus::kOk, version + 1, ""};
  }

  std::optional<clementine::ObjectsChanged> List(const std::string& prefix) {
    if (down) return std::nullopt;
    clementine::ObjectsChanged changed;
    for (const auto& [key, object] : objects) {
      if (key.rfind(prefix, 0) != 0) continue;
      changed.entries.push_back({key, object.first, object.second});
    }
    return changed;
  }
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a head that names sections which the platform lacks, and
// against a set that is applied in parts.
TEST_CASE("apply writes sections and then the head") {
  FakeSession test;
  test.before_head_put = [&] { CHECK(test.objects.size() == 2); };
  REQUIRE(test.ApplyText(kModel) == kExitOk);
  ConfigHead head = test.Head();
  CHECK(head.generation == 1);
  CHECK(head.author == "nikos");
  for (const auto& [name, digest] : head.sections) {
    CHECK(clementine::TextDigest(
              test.objects.at(kSectionPrefix + digest).second) == digest);
  }
  CHECK(Has(test.out, "accepted: generation 1"));
  // Comments and order don't make a new generation.
  CHECK(test.ApplyText("; same\n" + std::string(kModel)) == kExitOk);
  CHECK(test.Head().generation == 1);
  CHECK(test.ApplyText(kModel + std::string(kGroup)) == kExitOk);
  CHECK(test.Head().generation == 2);
  CHECK(test.Head().earlier_applies == std::vector<std::string>{"id-1"});
  // A fault anywhere applies nothing.
  CHECK(test.ApplyText(kModel + std::string("[group h]\n")) == kExitFindings);
  CHECK(test.Head().generation == 2);
}

// Guards against the later of two operators undoing the earlier one's change,
// and against not learning who was first.
TEST_CASE("the loser of a race changes nothing and is told who won") {
  FakeSession test;
  REQUIRE(test.ApplyText(kModel) == kExitOk);
  SUBCASE("between reading and writing") {
    test.before_head_put = [&] { test.ApplyByOther(); };
  }
  SUBCASE("before, when a generation is expected") {
    test.expect = 1;
    test.ApplyByOther();
  }
  CHECK(test.ApplyText(kModel + std::string(kGroup)) == kExitConflict);
  CHECK(test.Head().author == "maria");
  CHECK(Has(test.error, "generation 2 by maria was accepted first"));
  CHECK(Has(test.error, "- model z"));
  CHECK(Has(test.error, "+ group g"));
}

// Guards against an apply that took effect being reported as failed or applied
// twice, and against one that didn't being reported as accepted.
TEST_CASE("a lost answer is settled by the apply id") {
  FakeSession test;
  REQUIRE(test.ApplyText(kModel) == kExitOk);
  const std::string text = kModel + std::string(kGroup);
  SUBCASE("applied") {
    test.lose_head_answers = 1;
    CHECK(test.ApplyText(text) == kExitOk);
    CHECK(test.Head().generation == 2);
  }
  SUBCASE("not applied") {
    test.lose_head_requests = 2;
    CHECK(test.ApplyText(text) == kExitOk);
    CHECK(test.Head().generation == 2);
  }
  SUBCASE("applied and superseded") {
    test.lose_head_answers = 1;
    test.on_sleep = [&] { test.ApplyByOther(); };
    CHECK(test.ApplyText(text) == kExitOk);
    CHECK(Has(test.out, "generation 3 by maria has followed"));
  }
  SUBCASE("not applied and lost to another") {
    test.lose_head_requests = 1;
    test.on_sleep = [&] { test.ApplyByOther(); };
    CHECK(test.ApplyText(text) == kExitConflict);
  }
  SUBCASE("not to be told") {
    test.lose_head_answers = 1;
    test.on_sleep = [&] {
      for (int i = 0; i < 40; ++i) test.ApplyByOther();
      ConfigHead head = test.Head();
      head.earlier_applies.resize(clementine::kMaxEarlierApplies);
      test.Store(kHeadKey, clementine::EncodeHead(head));
    };
    CHECK(test.ApplyText(text) == kExitUnknown);
  }
  SUBCASE("never answered") {
    test.lose_head_requests = 1'000'000;
    CHECK(test.ApplyText(text) == kExitUnknown);
    CHECK(test.Head().generation == 1);
  }
}

// Guards against a failure being reported as something else: scripts depend on
// the exit codes.
TEST_CASE("failures have distinct exit codes") {
  FakeSession test;
  CHECK(Check({"/nonexistent/file"}, test.session) == kExitUsage);
  test.Write("[oops\n");
  CHECK(Check({test.file.string()}, test.session) == kExitFindings);
  CHECK(Has(test.error, ":1: section header without"));
  test.down = true;
  CHECK(test.ApplyText(kModel) == kExitUnavailable);
  CHECK(Check({test.file.string()}, test.session) == kExitOk);
  CHECK(Diff({test.file.string()}, test.session) == kExitUnavailable);
  CHECK(Status(false, test.session) == kExitUnavailable);
  test.down = false;
  test.Store(kHeadKey, "{");
  CHECK(test.ApplyText(kModel) == kExitDamaged);
  CHECK(Status(false, test.session) == kExitDamaged);
}

// Guards against --wait returning while a data centre or a node lags or says
// nothing.
TEST_CASE("wait ends when every data centre has the generation") {
  FakeSession test;
  const std::string text = kModel + std::string(kGroup);
  SUBCASE("silent data centre") {
    test.Store("status/attica-2", R"({"generation_min": 1})");
    CHECK(test.ApplyText(text, true) == kExitTimedOut);
    CHECK(Has(test.out, "attica-1: no status"));
  }
  SUBCASE("lagging node") {
    test.Store("status/attica-1", R"({"nodes":[{"generation":1},
        {"generation":0},{"generation":0,"live":false}]})");
    CHECK(test.ApplyText(text, true) == kExitTimedOut);
    CHECK(Has(test.out, "generation 0 in force, 1 of 2 nodes reached 1"));
  }
  SUBCASE("reached while the platform fails now and then") {
    int sleeps = 0;
    test.on_sleep = [&] {
      ++sleeps;
      test.down = sleeps == 2;
      if (sleeps < 4) return;
      test.Store("status/attica-1", R"({"generation_min": 1})");
    };
    CHECK(test.ApplyText(text, true) == kExitOk);
    CHECK(Has(test.out, "platform not reached"));
    CHECK(Has(test.out, "generation 1 is in force everywhere"));
  }
}

// Guards against a diff that hides a change.
TEST_CASE("diff shows sections and lines") {
  FakeSession test;
  REQUIRE(test.ApplyText(kModel) == kExitOk);
  test.Write("[model m]\nversion = 2\nweights = w\n[organisation o]\n");
  CHECK(Diff({test.file.string()}, test.session) == kExitOk);
  CHECK(Has(test.out, "~ model m\n    - version = 1\n    + version = 2\n"));
  CHECK(Has(test.out, "+ organisation o\n"));
  CHECK(Has(test.out, "2 sections differ"));
}

// Guards against a status of another version, or a damaged one, hiding the
// rest, and against control characters reaching the terminal.
TEST_CASE("status tolerates missing and wrong members") {
  FakeSession test;
  REQUIRE(test.ApplyText(kModel) == kExitOk);
  test.Store("status/a", R"({"nodes": 7, "groups": [1, {"group": "g/0",
      "state": "loading", "reason": "host \u001b[31mw1", "downtime_ms": "x",
      "hosts": ["w1", "w2"]}], "refused": {"overloaded": 3},
      "waiting_for": ["spares"], "lease": {"holder": "n1"}})");
  test.Store("status/b", "{}");
  CHECK(Status(false, test.session) == kExitOk);
  CHECK(
      Has(test.out, "g/0: loading (host ?[31mw1), model , epoch 0, downtime"));
  CHECK(Has(test.out, "hosts w1 w2"));
  CHECK(Has(test.out, "refused: overloaded 3"));
  CHECK(Has(test.out, "waiting for: spares"));
  CHECK(Has(test.out, "lease: n1"));
  CHECK(Has(test.out, "data centre b"));
  test.Store("status/c", "[");
  test.out.clear();
  CHECK(Status(true, test.session) == kExitDamaged);
  CHECK(Has(test.out, "\"data_centres\""));
  CHECK(Has(test.error, "status/c"));
}
