// Crowds of clients that keep within the limits of single requests, or far
// beyond, and never finish. The daemon's memory and descriptors have to stay
// under the limits of its settings, and it has to serve afterwards. Crowds are
// small and the limits are lowered accordingly. One test runs at a time.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "fmt/format.h"
#include "testing/process_fleet.h"
#include "testing/process_site.h"

using clementine::testing::ChatBody;
using clementine::testing::Fetch;
using clementine::testing::FleetSite;
using clementine::testing::kCaller;
using clementine::testing::kChat;
using clementine::testing::kLongWait;
using clementine::testing::kOneGroup;
using clementine::testing::kOrders;
using clementine::testing::Process;
using clementine::testing::Site;
using clementine::testing::WaitFor;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kMemoryBound = 40'000'000;
constexpr std::int64_t kDescriptorBound = 300;
const char* const kLimits = "memory = 40000000\nmax_descriptors = 300\n";

/// Just below the daemon's default limits of a head and a body.
constexpr std::size_t kLegalBody = 1'048'000;
constexpr std::size_t kLegalHead = 16'000;
/// A crowd stops when the daemon takes nothing more of it for this long.
constexpr milliseconds kStalled{700};

/// A crowd stays open for this long after it has sent, so that the daemon reads
/// what the kernel holds.
constexpr milliseconds kHold{1'000};

/// Where a crowd sends its requests.
struct Door {
  std::string address;
  std::string path;
};

std::string Head(const Door& door, const std::string& framing) {
  return fmt::format("POST {} HTTP/1.1\r\nHost: desk.example\r\n{}", door.path,
                     framing);
}

/// A whole head and a body that lacks its last byte.
std::string UnfinishedBody(const Door& door) {
  return Head(door, fmt::format("Content-Length: {}\r\n\r\n", kLegalBody)) +
         std::string(kLegalBody - 1, 'b');
}

/// The same in chunks of 100 bytes, without the last chunk.
std::string UnfinishedChunks(const Door& door) {
  std::string text = Head(door, "Transfer-Encoding: chunked\r\n\r\n");
  std::string chunk = "64\r\n" + std::string(100, 'c') + "\r\n";
  for (std::size_t i = 0; i < kLegalBody / 100; ++i) text += chunk;
  return text;
}

/// A head of the largest size, made of fields of five bytes.
std::string ManyFields(const Door& door, const std::string& framing) {
  std::string text = Head(door, framing);
  while (text.size() < kLegalHead) text += "a:b\r\n";
  return text;
}

std::string Repeat(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

/// Connections that send the same bytes and never read.
class Crowd {
 public:
  Crowd(const std::string& address, int connections) {
    std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    for (int i = 0; i < connections; ++i) {
      int descriptor =
          ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      REQUIRE(descriptor >= 0);
      // Goes on in the background; a refusal shows when it sends.
      static_cast<void>(::connect(
          descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to));
      m_members.push_back({descriptor, 0});
    }
  }
  ~Crowd() {
    for (const Member& member : m_members) ::close(member.descriptor);
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends a text on every connection, in turns of at most `piece` bytes, until
  /// it is sent, the connections are closed, or nothing is taken any more.
  void Send(const std::string& text, std::size_t piece = 1 << 20,
            milliseconds pause = milliseconds(0)) {
    auto last = std::chrono::steady_clock::now();
    bool unsent = true;
    while (unsent && std::chrono::steady_clock::now() - last < kStalled) {
      unsent = false;
      bool progress = false;
      for (Member& member : m_members) {
        progress = SendPiece(text, piece, &member) || progress;
        unsent = unsent || member.sent < text.size();
      }
      if (progress) last = std::chrono::steady_clock::now();
      std::this_thread::sleep_for(progress ? pause : milliseconds(5));
    }
  }

 private:
  struct Member {
    int descriptor;
    std::size_t sent;
  };

  static bool SendPiece(const std::string& text, std::size_t piece,
                        Member* member) {
    std::size_t size = std::min(piece, text.size() - member->sent);
    if (size == 0) return false;
    ssize_t sent = ::send(member->descriptor, text.data() + member->sent, size,
                          MSG_NOSIGNAL);
    if (sent > 0) {
      member->sent += static_cast<std::size_t>(sent);
    } else if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) {
      member->sent = text.size();  // Closed by the daemon, which is allowed.
    }
    return sent > 0;
  }

  std::vector<Member> m_members;
};

/// Peak of the resident memory, in bytes.
std::int64_t PeakMemory(const Process& process) {
  std::ifstream file(fmt::format("/proc/{}/status", process.pid()));
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmHWM:")) return std::stoll(line.substr(6)) * 1024;
  }
  return -1;
}

std::int64_t OpenDescriptors(const Process& process) {
  std::filesystem::directory_iterator entries(
      fmt::format("/proc/{}/fd", process.pid()));
  return std::distance(begin(entries), end(entries));
}

/// Most descriptors that a daemon has open within a time.
std::int64_t MostDescriptors(const Process& process, milliseconds time) {
  std::int64_t most = 0;
  WaitFor(time, [&] {
    most = std::max(most, OpenDescriptors(process));
    return false;
  });
  return most;
}

/// A daemon with its doors and what an ordinary caller sends.
struct Subject {
  Process* process;
  std::vector<Door> doors;
  std::function<int()> ordinary;  ///< Status of one ordinary request.
  std::string health;             ///< Address of /readyz.
};

/// Sends the same crowd to every door, and checks the daemon.
/// @param bytes Sent on each connection.
void CheckCrowd(const Subject& subject, const std::string& kind,
                int connections,
                const std::function<std::string(const Door&)>& bytes,
                std::size_t piece = 1 << 20,
                milliseconds pause = milliseconds(0)) {
  for (const Door& door : subject.doors) {
    INFO(kind << " at " << door.path);
    {
      Crowd crowd(door.address, connections);
      crowd.Send(bytes(door), piece, pause);
      std::int64_t descriptors = MostDescriptors(*subject.process, kHold);
      REQUIRE_FALSE(subject.process->WaitForExit(milliseconds(0)));
      CHECK(descriptors <= kDescriptorBound);
      std::int64_t peak = PeakMemory(*subject.process);
      MESSAGE(kind << " at " << door.path << ": peak " << peak << " bytes, "
                   << descriptors << " descriptors");
      CHECK(peak > 0);
      CHECK(peak <= kMemoryBound);
    }
    CHECK(WaitFor(kLongWait, [&] { return subject.ordinary() == 200; }));
    CHECK(WaitFor(kLongWait, [&] {
      return Fetch(subject.health, "GET", "/readyz").status == 200;
    }));
  }
  CHECK_FALSE(subject.process->WaitForExit(milliseconds(0)));
}

/// A daemon of each interface, one after the other.
void ForEachInterface(const std::function<void(const Subject&)>& check) {
  SUBCASE("relay") {
    FleetSite site({.daemons = 1, .limits = kLimits});
    std::string listen = site.daemon(0).Listening("listen");
    std::string health = site.daemon(0).Listening("health");
    int number = 0;
    check({&site.daemon(0),
           {{listen, "/read/x"},
            {listen, "/stream/x"},
            {listen, "/order/x"},
            {listen, "/nowhere"},
            {health, "/readyz"}},
           [&] {
             return site.Send(0, fmt::format("ordinary {}", ++number)).status;
           },
           health});
  }
  SUBCASE("chat") {
    Site site({.file = kOneGroup,
               .engines = 2,
               .open_groups = 2,
               .daemons = 1,
               .limits = kLimits});
    std::string listen = site.address(0);
    check({&site.daemon(0),
           {{listen, kChat},
            {listen, kOrders},
            {listen, "/nowhere"},
            {listen, "/readyz"}},
           [&] {
             return Fetch(listen, "POST", kChat,
                          ChatBody("chat", "ordinary", 2, false), kCaller)
                 .status;
           },
           listen});
  }
}

}  // namespace

TEST_CASE("abuse: bodies of legal size that stop one byte short") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "bodies in one piece", 200, UnfinishedBody);
  });
}

TEST_CASE("abuse: bodies in small pieces that stop one byte short") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "bodies in pieces", 200, UnfinishedBody, 4'096);
  });
}

TEST_CASE("abuse: bodies in small chunks without an end") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "bodies in chunks", 200, UnfinishedChunks);
  });
}

TEST_CASE("abuse: bodies far over the limit") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "oversized bodies", 60, [](const Door& door) {
      return Head(door, "Transfer-Encoding: chunked\r\n\r\n") +
             Repeat("2000\r\n" + std::string(8'192, 'o') + "\r\n", 1'000);
    });
  });
}

TEST_CASE("abuse: unfinished heads of very many fields") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "unfinished heads", 700,
               [](const Door& door) { return ManyFields(door, ""); });
  });
}

TEST_CASE("abuse: heads of very many fields with part of a body") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "heads with part of a body", 700, [](const Door& door) {
      return ManyFields(door, "Content-Length: 100000\r\n") + "\r\n" +
             std::string(50'000, 'b');
    });
  });
}

TEST_CASE("abuse: pipelined requests whose answers aren't read") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "pipelined requests", 100, [](const Door& door) {
      return Repeat(Head(door, "Content-Length: 2\r\n\r\nhi"), 5'000);
    });
  });
}

TEST_CASE("abuse: senders of a byte at a time") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(
        subject, "slow senders", 250,
        [](const Door& door) {
          return Head(door, "Content-Length: 100\r\n\r\n") +
                 std::string(50, 's');
        },
        1, milliseconds(5));
  });
}

TEST_CASE("abuse: idle connections") {
  ForEachInterface([](const Subject& subject) {
    CheckCrowd(subject, "idle connections", 400,
               [](const Door&) { return std::string("P"); });
  });
}
