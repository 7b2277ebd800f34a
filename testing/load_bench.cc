// Open-loop load generator for chat completions.
//
// Requests start at random times with a fixed mean rate, whatever the answers
// take, so that an overloaded target can't slow the load down. One JSON object
// with figures for each class and organisation goes to standard output.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "fmt/format.h"
#include "testing/standin_http.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t kBufferBytes = 16'384;

struct LoadOptions {
  std::vector<std::string> targets;
  std::vector<std::string> tokens;  ///< One for each organisation.
  std::vector<std::string> classes = {"stream"};
  std::string model = "chat";
  double rate = 10;                  ///< Requests per second.
  double seconds = 5;                ///< Time during which requests start.
  double timeout_seconds = 30;       ///< Given up after this.
  double batch_timeout_seconds = 0;  ///< For class batch; 0: as the others.
  int max_tokens = 32;
  int prompt_bytes = 200;
  int prompts = 1'000'000;             ///< Distinct prompts.
  double first_token_bound_ms = 1100;  ///< Later answers aren't good.
  /// For direct calls to engines: group and epoch, one for each target.
  std::vector<std::string> groups;
  std::vector<std::uint64_t> epochs;
  std::uint64_t seed = 1;
};

struct ClassFigures {
  int sent = 0;
  int complete = 0;
  int good = 0;  ///< Complete, with the first token within the bound.
  int not_run = 0;
  int unknown = 0;
  int broken = 0;  ///< Neither a whole answer nor an honest refusal.
  std::int64_t token_events = 0;
  std::vector<double> first_token_ms;
  std::vector<double> gap_ms;
  std::vector<double> refusal_ms;
};

/// One request's bytes as they arrive.
struct Answer {
  std::string head;
  std::string tail;  ///< Enough of the end to find markers across reads.
  int status = 0;
  std::string outcome;
  int events = 0;
  bool done = false;
  bool failed = false;
  double first_token_ms = 0;
  Clock::time_point last;
};

double Percentile(std::vector<double>* values, double fraction) {
  if (values->empty()) return 0;
  auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(),
                   values->begin() + static_cast<std::ptrdiff_t>(index),
                   values->end());
  return (*values)[index];
}

Json Percentiles(std::vector<double>* values) {
  return {{"count", values->size()},
          {"p50", Percentile(values, 0.50)},
          {"p95", Percentile(values, 0.95)},
          {"p99", Percentile(values, 0.99)}};
}

class Load {
 public:
  Load(asio::io_context* io, LoadOptions options)
      : m_io(io), m_options(std::move(options)), m_random(m_options.seed) {}

  asio::awaitable<void> Start() {
    std::exponential_distribution<double> pause(m_options.rate);
    auto begin = Clock::now();
    m_begin = begin;
    double at = 0;
    for (int i = 0;; ++i) {
      at += pause(m_random);
      if (at > m_options.seconds) break;
      asio::steady_timer timer(*m_io);
      timer.expires_at(begin + std::chrono::duration_cast<Clock::duration>(
                                   std::chrono::duration<double>(at)));
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(*m_io, Request(i), asio::detached);
    }
  }

  Json Report() {
    Json classes = Json::object();
    for (auto& [name, figures] : m_classes) {
      classes[name] = {{"sent", figures.sent},
                       {"complete", figures.complete},
                       {"good", figures.good},
                       {"not_run", figures.not_run},
                       {"unknown", figures.unknown},
                       {"broken", figures.broken},
                       {"tokens", figures.token_events},
                       {"first_token_ms", Percentiles(&figures.first_token_ms)},
                       {"gap_ms", Percentiles(&figures.gap_ms)},
                       {"refusal_ms", Percentiles(&figures.refusal_ms)}};
    }
    return {{"classes", classes},
            {"complete_by_organisation", m_by_token},
            {"requests", m_requests},
            {"broken_status", m_broken_status}};
  }

 private:
  double TimeoutSeconds(const std::string& request_class) const {
    bool batch =
        request_class == "batch" && m_options.batch_timeout_seconds > 0;
    return batch ? m_options.batch_timeout_seconds : m_options.timeout_seconds;
  }

  std::string RequestText(int number, const std::string& request_class,
                          const std::string& token) {
    std::string prompt = fmt::format("prompt {} ", number % m_options.prompts);
    prompt.resize(static_cast<std::size_t>(m_options.prompt_bytes), 'x');
    Json body = {{"model", m_options.model},
                 {"stream", true},
                 {"max_tokens", m_options.max_tokens},
                 {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    std::string text = clementine::JsonText(body);
    std::string direct;
    if (!m_options.groups.empty()) {
      std::size_t index =
          static_cast<std::size_t>(number) % m_options.groups.size();
      direct = fmt::format(
          "X-Attempt-Id: bench-{}\r\nX-Group: {}\r\nX-Group-Epoch: {}\r\n",
          number, m_options.groups[index], m_options.epochs[index]);
    }
    return fmt::format(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        "Authorization: Bearer {}\r\nX-Request-Class: {}\r\n"
        "X-Request-Timeout-Ms: {}\r\nContent-Type: application/json\r\n"
        "{}Connection: close\r\nContent-Length: {}\r\n\r\n{}",
        token, request_class,
        static_cast<int>(TimeoutSeconds(request_class) * 1000), direct,
        text.size(), text);
  }

  asio::awaitable<void> Request(int number) {
    std::size_t index = static_cast<std::size_t>(number);
    std::string name = m_options.classes[index % m_options.classes.size()];
    std::string token = m_options.tokens[(index / m_options.classes.size()) %
                                         m_options.tokens.size()];
    ClassFigures& figures = m_classes[name];
    ++figures.sent;
    auto begin = Clock::now();
    Answer answer;
    answer.last = begin;
    try {
      co_await Exchange(number, name, token, &answer, &figures);
    } catch (const boost::system::system_error&) {
      // Counted below from what arrived.
    }
    int good = figures.good;
    Count(answer, token, Milliseconds(Clock::now() - begin).count(), &figures);
    m_requests.emplace_back(
        std::chrono::duration<double>(begin - m_begin).count(),
        figures.good > good);
  }

  void Count(const Answer& answer, const std::string& token, double ms,
             ClassFigures* figures) {
    if (answer.status == 200 && answer.done && !answer.failed) {
      ++figures->complete;
      ++m_by_token[token];
      if (answer.first_token_ms <= m_options.first_token_bound_ms) {
        ++figures->good;
      }
    } else if (answer.outcome == "not-run") {
      ++figures->not_run;
      figures->refusal_ms.push_back(ms);
    } else if (answer.failed ||
               (answer.outcome == "unknown" && answer.status != 200)) {
      ++figures->unknown;
    } else {
      ++figures->broken;
      ++m_broken_status[std::to_string(answer.status)];
    }
  }

  asio::awaitable<void> Exchange(int number, const std::string& name,
                                 const std::string& token, Answer* answer,
                                 ClassFigures* figures) {
    tcp::socket socket(*m_io);
    const std::string& target =
        m_options.targets[static_cast<std::size_t>(number) %
                          m_options.targets.size()];
    asio::steady_timer limit(*m_io);
    limit.expires_after(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(TimeoutSeconds(name) + 2)));
    limit.async_wait([&socket](boost::system::error_code error) {
      if (!error) socket.close(error);
    });
    co_await socket.async_connect(clementine::standin::ParseAddress(target),
                                  asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    std::string text = RequestText(number, name, token);
    co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
    std::array<char, kBufferBytes> buffer;
    for (;;) {
      std::size_t bytes = co_await socket.async_read_some(asio::buffer(buffer),
                                                          asio::use_awaitable);
      Take(std::string_view(buffer.data(), bytes), answer, figures);
    }
  }

  /// Counts the events in the bytes that arrived together.
  void Take(std::string_view bytes, Answer* answer, ClassFigures* figures) {
    std::string text = answer->tail + std::string(bytes);
    if (answer->status == 0) {
      std::size_t end = text.find("\r\n\r\n");
      if (end == std::string::npos) {
        answer->tail = std::move(text);
        return;
      }
      ReadHead(text.substr(0, end), answer);
      text.erase(0, end + 4);
    }
    auto now = Clock::now();
    if (text.find("event: error") != std::string::npos) answer->failed = true;
    std::size_t last_line = text.rfind('\n');
    if (last_line == std::string::npos) last_line = 0;
    for (std::size_t at = text.find("data: "); at < last_line;
         at = text.find("data: ", at + 1)) {
      if (text.compare(at, 12, "data: [DONE]") == 0) {
        answer->done = true;
        continue;
      }
      // The data of an error event isn't a token.
      if (!answer->failed) CountEvent(now, answer, figures);
    }
    answer->tail = text.substr(last_line);
  }

  static void CountEvent(Clock::time_point now, Answer* answer,
                         ClassFigures* figures) {
    double ms = Milliseconds(now - answer->last).count();
    if (answer->events == 0) answer->first_token_ms = ms;
    auto* list =
        answer->events == 0 ? &figures->first_token_ms : &figures->gap_ms;
    list->push_back(ms);
    answer->last = now;
    ++answer->events;
    ++figures->token_events;
  }

  static void ReadHead(const std::string& head, Answer* answer) {
    if (head.size() > 12) answer->status = std::atoi(head.c_str() + 9);
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::string key = "x-clementine-outcome: ";
    std::size_t at = lower.find(key);
    if (at == std::string::npos) return;
    std::size_t from = at + key.size();
    answer->outcome = lower.substr(from, lower.find("\r\n", from) - from);
  }

  asio::io_context* m_io;
  LoadOptions m_options;
  std::mt19937_64 m_random;
  Clock::time_point m_begin;
  /// Of each request, seconds from the load's start to its own; was it good?
  std::vector<std::pair<double, bool>> m_requests;
  std::map<std::string, int> m_broken_status;
  std::map<std::string, ClassFigures> m_classes;
  std::map<std::string, int> m_by_token;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Open-loop load for chat completions");
  LoadOptions options;
  app.add_option("--target", options.targets, "IP:port, repeatable")
      ->required();
  app.add_option("--token", options.tokens, "Organisation token, repeatable")
      ->required();
  app.add_option("--class", options.classes, "Request class, repeatable");
  app.add_option("--model", options.model, "Model name");
  app.add_option("--rate", options.rate, "Requests per second");
  app.add_option("--seconds", options.seconds, "Time during which to start");
  app.add_option("--timeout", options.timeout_seconds, "Seconds per request");
  app.add_option("--batch-timeout", options.batch_timeout_seconds,
                 "Seconds per request of class batch; 0: as the others");
  app.add_option("--max-tokens", options.max_tokens, "Tokens per answer");
  app.add_option("--prompt-bytes", options.prompt_bytes, "Prompt size");
  app.add_option("--prompts", options.prompts, "Distinct prompts");
  app.add_option("--seed", options.seed, "Seed of the start times");
  app.add_option("--first-token-bound-ms", options.first_token_bound_ms,
                 "Answers whose first token is later aren't good");
  app.add_option("--group", options.groups,
                 "Group of the engine at each target, for direct calls");
  app.add_option("--epoch", options.epochs, "Its epoch");
  CLI11_PARSE(app, argc, argv);
  if (options.groups.size() != options.epochs.size()) {
    std::cerr << "each --group needs an --epoch\n";
    return 2;
  }
  asio::io_context io(1);
  Load load(&io, options);
  asio::co_spawn(io, load.Start(), asio::detached);
  io.run();
  std::cout << clementine::JsonText(load.Report(), 1) << "\n";
  return 0;
}
