// A notice that is lost is repeated by its sender, as long as the platform
// doesn't take the marks.

#include "daemon/crash_notices.h"

#include <utility>

#include "net/http_status.h"

namespace clementine {
namespace {

/// Daemons answer within milliseconds; one that is cut off doesn't at all.
constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kAnswerTimeout{500};
constexpr std::size_t kMostRunning = 32;
constexpr char kCodeHeader[] = "X-Notice-Code";

BackendOptions ClientOptions() {
  BackendOptions options;
  options.connect_timeout = kConnectTimeout;
  options.max_idle_per_address = 0;
  return options;
}

}  // namespace

const char CrashNotices::kPath[] = "/crashes";

CrashNotices::CrashNotices(boost::asio::io_context* io, ChangeKeys keys,
                           std::function<void(const std::string&)> heard)
    : m_keys(std::move(keys)),
      m_heard(std::move(heard)),
      m_client(io, ClientOptions()) {}

void CrashNotices::Tell(const std::vector<std::string>& addresses,
                        const std::string& text) {
  m_text = std::make_shared<const std::string>(text);
  m_code = SignNotice(m_keys, text);
  m_waiting.assign(addresses.begin(), addresses.end());
  SendNext();
}

void CrashNotices::SendNext() {
  while (m_running < kMostRunning && !m_waiting.empty()) {
    BackendCall call;
    call.relay = true;
    call.address = std::move(m_waiting.front());
    m_waiting.pop_front();
    call.method = "POST";
    call.target = kPath;
    call.body = m_text;
    call.headers = {{"Host", call.address}};
    if (!m_code.empty()) call.headers.emplace_back(kCodeHeader, m_code);
    call.idempotent = false;
    call.first_byte_timeout = kAnswerTimeout;
    call.gap_timeout = kAnswerTimeout;
    call.total_timeout = kAnswerTimeout;
    BackendHandlers handlers;
    handlers.end = [this, address = call.address](const BackendEnd& end) {
      if (end.status != http_status::kOk) {
        LogEvent("crash_notice_failed", {{"to", address},
                                         {"status", std::to_string(end.status)},
                                         {"detail", end.detail}});
      }
      --m_running;
      SendNext();
    };
    ++m_running;
    m_client.Start(std::move(call), std::move(handlers));
  }
}

void CrashNotices::Accept(HttpExchange* exchange) {
  const HttpRequest& request = exchange->request();
  if (request.method != "POST") {
    exchange->Answer(http_status::kBadRequest, {}, "unknown request\n");
    return;
  }
  if (!VerifyNotice(m_keys, request.body,
                    FindHeader(request.headers, kCodeHeader))) {
    LogEvent("crash_notice_rejected", {{"reason", "not authentic"}});
    exchange->Answer(http_status::kUnauthorized, {}, "not authentic\n");
    return;
  }
  m_heard(request.body);
  exchange->Answer(http_status::kOk, {}, "");
}

}  // namespace clementine
