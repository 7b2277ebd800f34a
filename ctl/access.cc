// Calls of the tool are sequential: each runs the event loop until its answer
// is there. Reads are repeated a few times, because a read that failed has
// changed nothing.

#include "ctl/access.h"

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <thread>

#include "config/fields.h"
#include "fmt/format.h"
#include "net/net.h"

namespace clementine::ctl {
namespace {

constexpr int kReadTries = 3;
constexpr milliseconds kReadRetryDelay{200};

void PrintLine(std::FILE* file, const std::string& line) {
  std::string text = line + "\n";
  std::fwrite(text.data(), 1, text.size(), file);
  std::fflush(file);
}

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string RandomId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(),
                     device());
}

// Reads [platform] address and token.
int ReadAccessFile(const std::string& name, const Session& session,
                   PlatformAccess* access) {
  std::ifstream stream(name, std::ios::binary);
  if (!stream) {
    session.error(fmt::format("can't read {}", name));
    return kExitUsage;
  }
  SourceFile file{name, std::string(std::istreambuf_iterator<char>(stream),
                                    std::istreambuf_iterator<char>())};
  FindingList findings(name);
  for (const IniSection& section : ReadIni(file, &findings)) {
    if (section.name != "platform") {
      findings.Add(section.line,
                   fmt::format("unknown section {}", Quote(section.name)));
      continue;
    }
    ReadFields(section,
               {AddressField("address", false, &access->address),
                SecretField("token", &access->token)},
               &findings);
  }
  auto found = findings.TakeFindings();
  for (const Finding& finding : found) session.error(FormatFinding(finding));
  return found.empty() ? kExitOk : kExitUsage;
}

// The event loop and the client, kept by the session's functions.
class PlatformCalls {
 public:
  explicit PlatformCalls(const PlatformAccess& access)
      : m_client(&m_io, access.address, access.token) {}

  ObjectReply Get(const std::string& key) {
    ObjectReply reply;
    for (int i = 0; i < kReadTries; ++i) {
      if (i > 0) std::this_thread::sleep_for(kReadRetryDelay);
      m_client.Get({0, key}, [&](ObjectReply got) { reply = std::move(got); });
      RunLoop();
      if (reply.status == ObjectStatus::kOk ||
          reply.status == ObjectStatus::kNotFound) {
        break;
      }
    }
    return reply;
  }

  ObjectReply Put(const PutObject& put) {
    ObjectReply reply;
    m_client.Put(put, [&](ObjectReply got) { reply = std::move(got); });
    RunLoop();
    return reply;
  }

  std::optional<ObjectsChanged> List(const std::string& prefix) {
    std::optional<ObjectsChanged> objects;
    for (int i = 0; i < kReadTries && !objects; ++i) {
      if (i > 0) std::this_thread::sleep_for(kReadRetryDelay);
      m_client.List(prefix, [&](std::optional<ObjectsChanged> got) {
        objects = std::move(got);
      });
      RunLoop();
    }
    return objects;
  }

 private:
  // Returns when the call is done: idle connections keep no work.
  void RunLoop() {
    m_io.restart();
    m_io.run();
  }

  boost::asio::io_context m_io{1};
  PlatformClient m_client;
};

}  // namespace

int CompleteAccess(const std::string& config_file, const Session& session,
                   PlatformAccess* access) {
  PlatformAccess file;
  if (!config_file.empty()) {
    int code = ReadAccessFile(config_file, session, &file);
    if (code != kExitOk) return code;
  }
  auto complete = [](std::string* target, const char* variable,
                     const std::string& from_file) {
    if (target->empty()) *target = FromEnvironment(variable);
    if (target->empty()) *target = from_file;
  };
  complete(&access->address, "CLEMENTINE_PLATFORM", file.address);
  complete(&access->token, "CLEMENTINE_PLATFORM_TOKEN", file.token);
  if (access->address.empty()) {
    session.error(
        "no platform address: use --platform, CLEMENTINE_PLATFORM or --config");
    return kExitUsage;
  }
  std::string problem = CheckAddress(access->address, false);
  if (problem.empty() && Printable(access->token) != access->token) {
    problem = "the platform token contains a control character";
  }
  if (problem.empty()) return kExitOk;
  session.error(Printable(problem));
  return kExitUsage;
}

Session OfflineSession() {
  Session session;
  session.out = [](const std::string& line) { PrintLine(stdout, line); };
  session.error = [](const std::string& line) { PrintLine(stderr, line); };
  session.now = [] { return std::chrono::steady_clock::now(); };
  session.sleep = [](milliseconds time) { std::this_thread::sleep_for(time); };
  session.new_apply_id = RandomId;
  return session;
}

Session OnlineSession(const PlatformAccess& access) {
  auto calls = std::make_shared<PlatformCalls>(access);
  Session session = OfflineSession();
  session.get = [calls](const std::string& key) { return calls->Get(key); };
  session.put = [calls](const PutObject& put) { return calls->Put(put); };
  session.list = [calls](const std::string& prefix) {
    return calls->List(prefix);
  };
  return session;
}

}  // namespace clementine::ctl
