#include "config/config.h"

#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "config/fields.h"

using clementine::Finding;
using clementine::JsonText;
using clementine::ParseConfiguration;
using clementine::ParseJson;
using clementine::ParseJsonLeniently;
using clementine::ParseSettings;
using clementine::TryParseJson;
using std::chrono::milliseconds;

namespace {

const char kValidFile[] =
    "; models\n"
    "[model chat]\n"
    "version = 2\n"
    "weights = chat-2\n"
    "hosts_per_replica = 4\n"
    "adapters = legal, paint\n"
    "load_time = 90s\n"
    "[group chat-a]\n"
    "model = chat\n"
    "data_centre = attica-1\n"
    "replicas = 3\n"
    "[organisation garage]\n"
    "weight = 2.5\n"
    "[route /v1/chat/completions]\n"
    "model = chat\n"
    "request_class = stream\n"
    "timeout = 500ms\n"
    "[service orders]\n"
    "hosts = w1, w2\n"
    "[route /v1/orders]\n"
    "service = orders\n"
    "idempotent = no\n"
    "key_required = yes\n"
    "[placement]\n"
    "downtime_weight = 4\n";

std::string FormatFindings(const std::vector<Finding>& findings) {
  std::string all;
  for (const Finding& finding : findings) {
    all += clementine::FormatFinding(finding) + "\n";
  }
  return all;
}

std::string FindingsOf(const std::string& text) {
  return FormatFindings(ParseConfiguration({{"a.ini", text}}).findings);
}

// Checks that a finding of `text` contains `expected`.
bool HasFinding(const std::string& text, const std::string& expected) {
  std::string all = FindingsOf(text);
  INFO(all);
  bool found = all.find(expected) != std::string::npos;
  CHECK_MESSAGE(found, expected);
  return found;
}

}  // namespace

// Guards against declared values that are lost or changed by the parser.
TEST_CASE("each value of a valid file is read") {
  auto result = ParseConfiguration({{"site.ini", kValidFile}});
  REQUIRE(FormatFindings(result.findings).empty());
  const auto& all = result.configuration;
  CHECK(all.models.at("chat").hosts_per_replica == 4);
  CHECK(all.models.at("chat").adapters.size() == 2);
  CHECK(all.models.at("chat").load_time == std::chrono::seconds(90));
  CHECK(all.groups.at("chat-a").replicas == 3);
  CHECK(all.organisations.at("garage").weight == 2.5);
  CHECK(all.routes.at("/v1/chat/completions").timeout == milliseconds(500));
  CHECK(all.routes.at("/v1/orders").request_class ==
        clementine::RequestClass::kPlain);
  CHECK_FALSE(all.routes.at("/v1/orders").idempotent);
  CHECK(all.routes.at("/v1/orders").key_required);
  CHECK(all.services.at("orders").hosts.size() == 2);
  CHECK(all.placement.downtime_weight == 4.0);
}

// Guards against an apply that transfers unchanged sections, and against
// daemons whose configuration differs from the operator's declaration.
TEST_CASE("splitting and joining sections preserves texts and digests") {
  auto first = ParseConfiguration({{"site.ini", kValidFile}});
  auto sections = clementine::SplitSections(first.configuration);
  auto joined = clementine::JoinSections(sections);
  REQUIRE(FormatFindings(joined.findings).empty());
  auto again = clementine::SplitSections(joined.configuration);
  REQUIRE(again.size() == sections.size());
  for (std::size_t i = 0; i < sections.size(); ++i) {
    CHECK(again[i].name == sections[i].name);
    CHECK(again[i].digest == sections[i].digest);
  }
  sections[0].text += "max_running = 9\n";
  CHECK_FALSE(clementine::JoinSections(sections).findings.empty());
}

// Guards against errors that are accepted or reported at the wrong line.
TEST_CASE("each error is reported with its line") {
  const std::string model = "[model m]\nversion = 1\nweights = w\n";
  CHECK(
      HasFinding("[modle m]\n", "a.ini:1: unknown section 'modle m' (did you"));
  CHECK(HasFinding(model + "max_runing = 3\n",
                   "a.ini:4: unknown key 'max_runing'"));
  CHECK(
      HasFinding(model + "max_runing = 3\n", "(did you mean 'max_running'?)"));
  CHECK(HasFinding(model + "version = 2\n",
                   "a.ini:4: key 'version' is repeated"));
  CHECK(HasFinding(model + model,
                   "a.ini:4: [model m] is already defined at a.ini"));
  CHECK(HasFinding(model + "max_running = 3x\n",
                   "a.ini:4: max_running: '3x' is not"));
  CHECK(HasFinding(model + "max_running = 0\n",
                   "a.ini:4: max_running: '0' is out"));
  CHECK(HasFinding(model + "load_time = 90\n",
                   "a.ini:4: load_time: '90' is not"));
  CHECK(HasFinding(model + "load_time = 9999999999999999d\n", "outside of"));
  CHECK(HasFinding(model + "load_time = 1500ms\n", "whole seconds"));
  CHECK(HasFinding(model + "adapters = a, a\n", "'a' is listed twice"));
  CHECK(HasFinding("[model m]\nversion = 1\n",
                   "a.ini:1: [model m] lacks key 'weig"));
  CHECK(HasFinding("[model]\n", "lacks a name"));
  CHECK(HasFinding("[model a b]\n", "contains a character other than"));
  CHECK(HasFinding("x = 1\n", "a.ini:1: key 'x' is outside of a section"));
  CHECK(HasFinding(model + "rubbish\n[oops\n",
                   "a.ini:4: expected 'key = value'"));
  CHECK(HasFinding(model + "rubbish\n[oops\n",
                   "a.ini:5: section header without"));
  CHECK(HasFinding(model + "version\x01 = 1\n",
                   "a.ini:4: line contains a control"));
  CHECK(HasFinding(
      model + "[group g]\nmodel = mm\ndata_centre = d\nreplicas = 0\n",
      "a.ini:5: model 'mm' is not declared (did you mean 'm'?)"));
  CHECK(HasFinding("[group g]\nmodel = m\ndata_centre = d\nreplicas = 0\n",
                   "a.ini:4: replicas: '0' is outside"));
  CHECK(HasFinding("[route /a]\nmodel = m\nservice = s\n",
                   "a.ini:3: [route /a] must name either"));
  CHECK(HasFinding("[route /a]\n", "a.ini:1: [route /a] must name either"));
  CHECK(HasFinding("[route /a]\nservice = s\n",
                   "a.ini:2: service 's' is not decl"));
  CHECK(HasFinding("[route a]\nservice = s\n", "does not start with '/'"));
  CHECK(HasFinding("[service s]\nhosts =\n", "a.ini:2: hosts: value is empty"));
  CHECK(
      HasFinding("[organisation o]\nweight = nan\n", "a.ini:2: weight: 'nan'"));
  CHECK(HasFinding("[placement x]\n", "takes no name"));
  CHECK(HasFinding(model + "[route /a]\nmodel = m\nrequest_class = plain\n",
                   "a.ini:6: a route to a model"));
}

// Guards against a parser that reports only the first error.
TEST_CASE("findings of all files are reported in file order") {
  auto result = ParseConfiguration(
      {{"a.ini", "[group g]\nmodel = absent\ndata_centre = d\nx\ny\n"},
       {"b.ini", "[group g]\n"}});
  CHECK(FormatFindings(result.findings) ==
        "a.ini:2: model 'absent' is not declared\n"
        "a.ini:4: expected 'key = value' or '[section]'\n"
        "a.ini:5: expected 'key = value' or '[section]'\n"
        "b.ini:1: [group g] is already defined at a.ini:1\n");
}

// Guards against unbounded memory use, and against a section that exceeds the
// platform's maximum object size.
TEST_CASE("oversized input is rejected") {
  std::string hosts;
  for (int i = 0; hosts.size() < clementine::kMaxObjectBytes; ++i) {
    hosts += (i == 0 ? "h" : ", h") + std::to_string(i);
  }
  CHECK(HasFinding("\n[service s]\nhosts = " + hosts + "\n",
                   "a.ini:2: [service s] has "));
  CHECK(HasFinding("[service s]\nhosts = " + hosts + hosts + "\n",
                   "a.ini:2: line is longer than"));
  std::string large;
  large.resize(clementine::kMaxFileBytes + 1, '\n');
  CHECK(HasFinding(large, "a.ini: file has 16000001 bytes"));
  std::string many;
  for (int i = 0; i < 5'000; ++i) many += "x\n";
  CHECK(HasFinding(many, "4000 further findings omitted"));
}

// Guards against a crash or an endless loop on malformed input.
TEST_CASE("random mutations never crash the parsers") {
  std::mt19937_64 random(20261204);
  const std::string alphabet = "[]=;:#\n\r\t ,.0a/\xEF\xBB\xBF-e9ms";
  for (int round = 0; round < 3'000; ++round) {
    std::string text = kValidFile;
    int edits = 1 + static_cast<int>(random() % 20);
    for (int i = 0; i < edits; ++i) {
      std::size_t at = random() % text.size();
      char c = random() % 8 == 0 ? static_cast<char>(random() % 256)
                                 : alphabet[random() % alphabet.size()];
      switch (random() % 3) {
        case 0:
          text[at] = c;
          break;
        case 1:
          text.insert(at, 1, c);
          break;
        default:
          text.erase(at, 1 + random() % 5);
      }
    }
    auto result = ParseConfiguration({{"a.ini", text}, {"b.ini", text}});
    ParseSettings({"a.ini", text});
    auto once = ParseConfiguration({{"a.ini", text}});
    if (!once.findings.empty()) continue;
    auto joined =
        clementine::JoinSections(clementine::SplitSections(once.configuration));
    CHECK(FormatFindings(joined.findings).empty());
  }
}

// Guards against settings that are lost or read with a wrong unit.
TEST_CASE("each value of valid settings is read") {
  auto result = ParseSettings(
      {"d.ini",
       "[node]\nname = n1\nregion = attica\ndata_centre = attica-1\nseed = 7\n"
       "[listen]\naddress = 127.0.0.1:8080\n"
       "[platform]\naddress = 127.0.0.1:9000\ntoken = t0k;en\n"
       "[peers]\nlisten = [::1]:0\nseeds = 10.0.0.1:7, 10.0.0.2:7\nkey = k\n"
       "[limits]\nmax_queued = 12\n"
       "[timeouts]\ndrain_wait = 0s\nclaim_retention = 48h\n"
       "[organisation_tokens]\ngarage = s3cret\n"});
  REQUIRE(FormatFindings(result.findings).empty());
  const auto& settings = result.settings;
  CHECK(settings.node == "n1");
  CHECK(settings.seed == 7);
  CHECK(settings.listen == "127.0.0.1:8080");
  CHECK(settings.platform_token == "t0k;en");
  CHECK(settings.peer_seeds.size() == 2);
  CHECK(settings.max_queued == 12);
  CHECK(settings.drain_wait == milliseconds(0));
  CHECK(settings.claim_retention == std::chrono::hours(48));
  CHECK(settings.organisation_tokens.at("garage") == "s3cret");
}

// Guards against a daemon that starts with invalid settings, and against error
// messages that contain secrets.
TEST_CASE("errors in settings are reported without secrets") {
  std::string all = FormatFindings(
      ParseSettings({"d.ini",
                     "[platform]\naddress = localhost:80\ntoken = secretA\n"
                     "token = secretB\n[timeouts]\nheader_timeout = 10\n"
                     "presence_timeout = 1s\nprobe_interval = 2s\n"
                     "[timeout]\n[organisation_tokens]\na = secretC\n"
                     "b = secretC\nb c = secretD\n"})
          .findings);
  INFO(all);
  for (const char* expected :
       {"d.ini:2: address: 'localhost:80' is not an address",
        "d.ini:4: key 'token' is repeated", "d.ini:6: header_timeout: '10'",
        "d.ini:5: presence_timeout must be longer", "d.ini:9: unknown section",
        "(did you mean 'timeouts'?)", "d.ini:12: 'b' has the same token as 'a'",
        "d.ini:13: 'b c' contains", "d.ini: [node] lacks key 'data_centre'",
        "d.ini: [peers] lacks key 'key'"}) {
    CHECK_MESSAGE(all.find(expected) != std::string::npos, expected);
  }
  CHECK(all.find("secret") == std::string::npos);
}

// Guards against a stack overflow when a deeply nested text is serialized
// again.
TEST_CASE("JSON texts that are nested too deeply are rejected") {
  std::string nested =
      std::string(100'000, '[') + "1" + std::string(100'000, ']');
  CHECK_THROWS_AS(ParseJson(nested), nlohmann::json::exception);
  CHECK(TryParseJson(nested).is_discarded());
  std::string beside = R"(,"b":[{"c":"]"}]})";
  CHECK(JsonText(ParseJsonLeniently("{\"a\":" + nested + beside))
            .ends_with(beside));
  CHECK(JsonText(ParseJsonLeniently("[1e999,-1e999,1e-999,1e3,\"1e999\"]")) ==
        "[null,null,0.0,1000.0,\"1e999\"]");
  CHECK_THROWS_AS(ParseJsonLeniently("{\"a\":1"), nlohmann::json::exception);
  CHECK_THROWS_AS(ParseJsonLeniently(""), nlohmann::json::exception);
}
