// The head of a stream is sent to the caller together with the first event.
// Until then, the request can be retried on another server without the caller
// noticing. Answers that are not streams are buffered and sent when they are
// complete.

#include "daemon/relay_executor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/quarantine.h"
#include "daemon/common_metrics.h"
#include "daemon/relay_stream.h"
#include "fmt/format.h"
#include "net/http_status.h"
#include "platform/platform.h"

namespace clementine {
namespace {

/// Lower bound of the timeout of an attempt.
constexpr milliseconds kMinTimeout{1};
/// Timeout of a request that specifies none.
constexpr milliseconds kDefaultTimeout{30'000};
constexpr std::size_t kMaxBodyBytes = 16'777'216;
/// Retry-After of refusals that are sent before a waiting time is estimated.
constexpr milliseconds kEarlyRetryAfter{500};
/// Minimum interval between two AttemptProgress events of an attempt.
constexpr milliseconds kProgressInterval{200};

std::string Seconds(milliseconds time) {
  return fmt::format("{:.3f}", std::chrono::duration<double>(time).count());
}

std::string Milliseconds(TimePoint::duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

void SetPrompt(const platform::CallerHeaders& headers, Request* request) {
  request->prompt_tokens = headers.prompt_tokens;
  request->max_tokens = headers.expected_output_tokens > 0
                            ? headers.expected_output_tokens
                            : headers.max_output_tokens;
}

void SetTarget(const RouteRule& route, Request* request) {
  bool stream = route.kind == RouteKind::kStream;
  (stream ? request->target : request->answer_target) = route.target_latency;
}

/// The parts are passed to the request path only, which keeps their hashes.
Request WithSharedParts(const Request& request, const HttpHeaders& headers) {
  Request with_parts = request;
  with_parts.shared_parts = platform::ReadSharedParts(headers);
  return with_parts;
}

bool IsEventStream(const HttpHeaders& headers) {
  return FindHeader(headers, "Content-Type").starts_with("text/event-stream");
}

}  // namespace

struct RelayExecutor::Caller {
  RequestId id = 0;
  std::shared_ptr<HttpExchange> exchange;
  platform::CallerHeaders headers;
  std::shared_ptr<const RouteTable> routes;  ///< Keeps `route` alive.
  const RouteRule* route = nullptr;
  Request request;
  std::string forwarded_organisation;  ///< Empty if none is sent to servers.
  std::string service;                 ///< Chosen for this request.
  std::shared_ptr<const std::string> body;
  TimePoint arrived;
  TimePoint first_event;
  AttemptId current = 0;
  RelayStream stream;  ///< Of the current attempt.
  /// Since the last attempt began, the current one has delivered something or
  /// answered with success: one that runs beside it can't take its place.
  bool decided = false;
  bool head_sent = false;
  // The answer, set when an attempt has returned one.
  AttemptId answered_by = 0;
  int status = 0;
  HttpHeaders answer_headers;
  std::string answer_body;
  std::string group;                      ///< Of the last attempt; for the log.
  std::set<std::string> attempted_hosts;  ///< Hosts of all attempts.
};

std::string RelayExecutor::LoggedParts(const Caller& caller) {
  return FormatParts(
      platform::ReadSharedParts(caller.exchange->request().headers));
}

struct RelayExecutor::Attempt {
  AttemptId id = 0;
  std::shared_ptr<Caller> caller;
  std::string group;
  std::uint64_t epoch = 0;
  std::string host;
  std::shared_ptr<BackendAttempt> call;
  TimePoint started;
  TimePoint last_progress;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// Set for an attempt that runs beside another one, until it becomes the
  /// current one: the caller's stream as far as it was delivered.
  std::unique_ptr<RelayStream> own_stream;
  bool is_stream = false;       ///< The answer is a stream of events.
  bool names_request = false;   ///< The answer contains the request id.
  bool server_leaving = false;  ///< The answer says so.
};

RelayExecutor::RelayExecutor(RelayContext context)
    : m_context(std::move(context)), m_random(m_context.seed) {}

RelayExecutor::~RelayExecutor() = default;

void RelayExecutor::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  m_routes = std::move(routes);
}

void RelayExecutor::SetGroups(const std::vector<GroupView>& groups) {
  m_head_hosts.clear();
  m_leaving_groups.clear();
  std::set<std::string> names;
  for (const GroupView& group : groups) {
    m_head_hosts[group.group] = group.head_host;
    names.insert(group.group);
    if (group.leaving) m_leaving_groups.insert(group.group);
  }
  m_silence.RetainGroups(names);
}

// ---------------------------------------------------------------------------
// Arrival.

void RelayExecutor::RefuseWithoutAttempt(HttpExchange* exchange, int status,
                                         const char* reason,
                                         const std::string& request_id) {
  LogEvent("refuse", {{"caller_request", request_id},
                      {"status", std::to_string(status)},
                      {"reason", reason},
                      {"path", exchange->request().path}});
  m_context.metrics->Add("clementine_refused_total",
                         fmt::format("reason=\"{}\"", reason));
  HttpHeaders headers = {{"Content-Type", "text/plain"}};
  if (status == http_status::kUnavailable) {
    headers.emplace_back("Retry-After", Seconds(kEarlyRetryAfter));
  }
  exchange->Answer(status, headers, std::string(reason) + "\n");
}

void RelayExecutor::Accept(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  platform::CallerHeaders headers =
      platform::ReadCallerHeaders(request.headers);
  if (m_stopping || m_routes == nullptr) {
    RefuseWithoutAttempt(exchange.get(), http_status::kUnavailable,
                         m_stopping ? "stopping" : "no_configuration",
                         headers.request_id);
    return;
  }
  RouteTable::Match match =
      m_routes->Find(headers.host, request.path, headers.key);
  if (match.verdict == RouteTable::Verdict::kNoRoute) {
    RefuseWithoutAttempt(exchange.get(), http_status::kNotFound, "no_route",
                         headers.request_id);
    return;
  }
  if (match.verdict == RouteTable::Verdict::kInvalidKey) {
    RefuseWithoutAttempt(exchange.get(), http_status::kUnauthorized,
                         "unknown_key", headers.request_id);
    return;
  }
  std::shared_ptr<Caller> caller = MakeCaller(exchange, match);
  caller->headers = std::move(headers);
  Request& read = caller->request;
  milliseconds timeout =
      std::min(caller->headers.timeout.value_or(kDefaultTimeout),
               caller->route->timeout);
  read.deadline = caller->arrived + timeout;
  SetTarget(*caller->route, &read);
  const std::string& service =
      RouteTable::PickService(*caller->route, m_random());
  caller->service = service;
  if (caller->headers.model.empty()) {
    read.service = service;
  } else {
    read.model = service + "/" + caller->headers.model;
  }
  SetPrompt(caller->headers, &read);
  CountDemand(service, *caller);
  LogEvent("request",
           {{"request", std::to_string(caller->id)},
            {"caller_request", caller->headers.request_id},
            {"route", caller->route->name},
            {"version", std::to_string(m_routes->configuration().version)},
            {"target",
             service + (read.model.empty() ? "" : "/") + caller->headers.model},
            {"organisation", read.organisation},
            {"timeout_ms", std::to_string(timeout.count())}});
  m_callers.emplace(caller->id, caller);
  exchange->SetLeaveHandler([this, id = caller->id] {
    std::shared_ptr<Caller> left = TakeCaller(id);
    if (!left) return;
    LogAnswer(*left, "caller_left", 0, "");
    m_context.feed(CallerLeft{id});
  });
  m_context.feed(RequestArrived{WithSharedParts(read, request.headers)});
}

void RelayExecutor::CountDemand(const std::string& service,
                                const Caller& caller) {
  const EngineSpec* engine = FindEngine(m_routes->configuration(), service);
  const EngineModel* model =
      engine == nullptr ? nullptr : FindModel(*engine, caller.headers.model);
  if (model == nullptr) return;
  double answer = caller.request.max_tokens > 0 ? caller.request.max_tokens
                                                : engine->default_answer_tokens;
  DemandCount& count = m_demand[caller.request.model];
  ++count.requests;
  count.group_seconds +=
      GroupTimePerRequest(*engine, *model, caller.request.prompt_tokens, answer)
          .count();
}

std::shared_ptr<RelayExecutor::Caller> RelayExecutor::MakeCaller(
    const std::shared_ptr<HttpExchange>& exchange,
    const RouteTable::Match& match) {
  const HttpRequest& http = exchange->request();
  auto caller = std::make_shared<Caller>();
  caller->id = ++m_last_request;
  caller->exchange = exchange;
  caller->routes = m_routes;
  caller->route = match.route;
  caller->forwarded_organisation = match.organisation;
  caller->arrived = m_context.now();
  Request& request = caller->request;
  request.id = caller->id;
  request.organisation =
      match.organisation.empty() ? kPublicOrganisation : match.organisation;
  bool stream = match.route->kind == RouteKind::kStream;
  request.request_class = stream ? RequestClass::kStream : RequestClass::kPlain;
  request.path = http.path;
  request.content_digest = TextDigest(fmt::format(
      "{} {}?{}\n{}", http.method, http.path, http.query, http.body));
  caller->body = std::make_shared<const std::string>(exchange->TakeBody());
  request.idempotent = match.route->kind == RouteKind::kIdempotent ||
                       (stream && match.route->resumable);
  request.max_attempts = std::max(1, match.route->max_attempts);
  request.priority = match.priority;
  return caller;
}

// ---------------------------------------------------------------------------
// Attempts.

void RelayExecutor::Execute(const RequestAction& action) {
  std::visit([this](const auto& value) { On(value); }, action);
}

BackendCall RelayExecutor::MakeCall(const Dispatch& dispatch,
                                    const Caller& caller) {
  const HttpRequest& http = caller.exchange->request();
  BackendCall call;
  call.relay = true;
  call.address = dispatch.address;
  call.method = http.method;
  call.target = http.query.empty() ? http.path : http.path + "?" + http.query;
  call.body = caller.body;
  // Attempts of a request share its id. A duplicate of a host's answer to an
  // earlier attempt could be mistaken for the answer to this attempt. A call
  // that isn't idempotent uses a new connection, where no such duplicate can
  // arrive.
  call.idempotent =
      caller.request.idempotent &&
      caller.attempted_hosts.count(m_head_hosts[dispatch.group]) == 0;
  auto remaining =
      std::max(kMinTimeout, std::chrono::floor<milliseconds>(
                                caller.request.deadline - m_context.now()));
  platform::ForwardInfo info;
  info.host = m_head_hosts[dispatch.group];
  info.organisation = caller.forwarded_organisation;
  info.remaining = remaining;
  info.priority =
      caller.routes->ForwardedPriority(caller.service, caller.request.priority);
  if (caller.stream.events() > 0) info.resume_after = caller.stream.last_id();
  call.headers = platform::ForwardHeaders(http.headers, info);
  call.event_stream = caller.route->kind == RouteKind::kStream;
  call.verify_unframed = true;
  if (!call.event_stream) call.max_body_bytes = kMaxBodyBytes;
  call.first_byte_timeout = remaining;
  call.gap_timeout = remaining;
  return call;
}

void RelayExecutor::On(const Dispatch& dispatch) {
  auto found = m_callers.find(dispatch.request);
  if (found == m_callers.end()) {
    AttemptEnded ended;
    ended.attempt = dispatch.attempt;
    ended.result = AttemptResult::kNotSent;
    m_context.feed(std::move(ended));
    return;
  }
  std::shared_ptr<Caller> caller = found->second;
  auto attempt = std::make_shared<Attempt>();
  attempt->id = dispatch.attempt;
  attempt->caller = caller;
  attempt->group = dispatch.group;
  attempt->epoch = dispatch.epoch;
  attempt->host = m_head_hosts[dispatch.group];
  attempt->started = m_context.now();
  if (dispatch.concurrent) {
    attempt->own_stream = std::make_unique<RelayStream>(caller->stream);
    attempt->own_stream->Restart();
    caller->decided = false;
  } else {
    caller->current = dispatch.attempt;
    caller->group = dispatch.group;
    caller->decided = false;
    caller->stream.Restart();
  }
  BackendHandlers handlers;
  handlers.head = [this, attempt](int status, const HttpHeaders& headers) {
    return OnHead(attempt.get(), status, headers);
  };
  handlers.bytes = [this, attempt](std::string_view bytes) {
    OnBytes(attempt.get(), bytes);
  };
  handlers.server_leaving = [this, attempt] {
    return attempt->server_leaving ||
           m_leaving_groups.count(attempt->group) > 0;
  };
  handlers.end = [this, attempt](BackendEnd end) {
    OnEnd(attempt, std::move(end));
  };
  m_attempts.emplace(attempt->id, attempt);
  if (caller->route->kind == RouteKind::kStream) {
    m_silence.OnAttemptStarted(attempt->id, attempt->group, attempt->epoch,
                               attempt->started);
  }
  attempt->call = m_context.backends->Start(MakeCall(dispatch, *caller),
                                            std::move(handlers));
  caller->attempted_hosts.insert(attempt->host);
  if (!dispatch.concurrent) ResumeOnDrain(*attempt);
}

void RelayExecutor::ResumeOnDrain(const Attempt& attempt) {
  attempt.caller->exchange->SetDrainHandler(
      [call = std::weak_ptr<BackendAttempt>(attempt.call)] {
        if (auto running = call.lock()) running->Resume();
      });
}

bool RelayExecutor::CanAnswer(const Attempt& attempt) {
  const Caller& caller = *attempt.caller;
  return caller.current == attempt.id ||
         (attempt.own_stream != nullptr && !caller.decided);
}

RelayStream* RelayExecutor::StreamOf(Attempt* attempt) {
  return attempt->own_stream != nullptr ? attempt->own_stream.get()
                                        : &attempt->caller->stream;
}

void RelayExecutor::Decide(Attempt* attempt) {
  Caller* caller = attempt->caller.get();
  caller->decided = true;
  if (caller->current == attempt->id) return;
  caller->current = attempt->id;
  caller->group = attempt->group;
  caller->stream = std::move(*attempt->own_stream);
  attempt->own_stream.reset();
  ResumeOnDrain(*attempt);
}

void RelayExecutor::On(const CancelAttempt& cancel) {
  auto found = m_attempts.find(cancel.attempt);
  if (found == m_attempts.end()) return;
  std::shared_ptr<Attempt> attempt = found->second;
  m_attempts.erase(found);
  m_silence.OnAttemptEnded(attempt->id);
  attempt->call->Cancel();
  LogEvent("attempt_cancelled",
           {{"request", std::to_string(attempt->caller->id)},
            {"group", attempt->group},
            {"host", attempt->host},
            {"digest", Quarantine::Digest(attempt->caller->request)},
            {"parts", LoggedParts(*attempt->caller)},
            {"began", attempt->last_progress == TimePoint() ? "no" : "yes"},
            {"ms", Milliseconds(m_context.now() - attempt->started)}});
  m_context.metrics->Add("clementine_attempts_ended_total",
                         "result=\"cancelled\"");
}

AnswerHead RelayExecutor::OnHead(Attempt* attempt, int status,
                                 const HttpHeaders& headers) {
  attempt->names_request = platform::HasRequestId(headers);
  AnswerHead classification =
      platform::ClassifyAnswer(attempt->caller->headers.request_id, status,
                               headers, attempt->call->reused());
  if (classification == AnswerHead::kAnswer) {
    attempt->status = status;
    attempt->headers = EndToEndHeaders(headers);
    attempt->is_stream = attempt->caller->route->kind == RouteKind::kStream &&
                         status == http_status::kOk && IsEventStream(headers);
  }
  if (classification != AnswerHead::kForeign &&
      platform::HasLeavingHeader(status, headers)) {
    attempt->server_leaving = true;
    m_context.feed_fleet(ServerLeaving{attempt->host, "answer"});
  }
  m_silence.OnResponseData(attempt->id, /*has_event=*/false, m_context.now());
  return classification;
}

void RelayExecutor::OnBytes(Attempt* attempt, std::string_view bytes) {
  Caller* caller = attempt->caller.get();
  if (!CanAnswer(*attempt)) return;
  if (!attempt->is_stream) {
    attempt->body.append(bytes);
    attempt->call->Hold(attempt->body.size());
    return;
  }
  RelayStream* stream = StreamOf(attempt);
  std::string events = stream->ExtractEvents(bytes);
  if (stream->oversized()) {
    EndOversized(attempt);
    return;
  }
  attempt->call->Hold(stream->held_bytes());
  // Only complete events count as progress; a server that sends single bytes
  // makes none.
  if (events.empty()) return;
  Decide(attempt);
  TimePoint now = m_context.now();
  m_silence.OnResponseData(attempt->id, /*has_event=*/true, now);
  bool first = caller->first_event == TimePoint();
  if (first) caller->first_event = now;
  Deliver(caller, attempt, events);
  if (now - attempt->last_progress >= kProgressInterval) {
    attempt->last_progress = now;
    m_context.feed(AttemptProgress{attempt->id, caller->stream.events()});
  }
}

void RelayExecutor::EndOversized(Attempt* attempt) {
  attempt->call->Cancel();
  BackendEnd end;
  end.detail = "event of the stream exceeds the size limit";
  end.status = attempt->status;
  auto found = m_attempts.find(attempt->id);
  if (found == m_attempts.end()) return;
  // OnEnd erases the entry of m_attempts, which must not hold the last
  // reference.
  std::shared_ptr<Attempt> held_attempt = found->second;
  OnEnd(held_attempt, std::move(end));
}

void RelayExecutor::Deliver(Caller* caller, Attempt* attempt,
                            std::string_view bytes) {
  if (!caller->head_sent) {
    caller->head_sent = true;
    caller->status = attempt->status;
    caller->exchange->StartStream(attempt->status, attempt->headers);
  }
  if (!caller->exchange->Write(bytes) && attempt->call) attempt->call->Pause();
}

void RelayExecutor::CheckComplete(Attempt* attempt, BackendEnd* end) {
  if (end->result != AttemptResult::kComplete) return;
  Caller* caller = attempt->caller.get();
  if (attempt->is_stream && CanAnswer(*attempt)) {
    std::string rest = StreamOf(attempt)->Finish();
    if (!rest.empty()) {
      Decide(attempt);
      Deliver(caller, attempt, rest);
    }
  }
  // A stream that has begun can only be ended by an answer that continues it.
  bool ends_stream =
      attempt->is_stream ? StreamOf(attempt)->CanEnd() : !caller->head_sent;
  // A server that ends may close its connections as if its answers were whole.
  bool empty = attempt->is_stream &&
               end->framing == AnswerFraming::kConnection &&
               StreamOf(attempt)->events() == 0;
  if (ends_stream && !empty) return;
  end->result = AttemptResult::kBroken;
  end->detail = "answer does not end or continue the stream";
}

void RelayExecutor::OnEnd(const std::shared_ptr<Attempt>& attempt,
                          BackendEnd end) {
  auto found = m_attempts.find(attempt->id);
  if (found == m_attempts.end()) return;
  m_attempts.erase(found);
  Caller* caller = attempt->caller.get();
  CheckComplete(attempt.get(), &end);
  bool complete = end.result == AttemptResult::kComplete;
  // If a server may have crashed during the attempt, the digest identifies the
  // request: it is the same on all daemons and for each repetition.
  LogEvent("attempt_ended",
           {{"request", std::to_string(caller->id)},
            {"digest", complete ? "-" : Quarantine::Digest(caller->request)},
            {"parts", complete ? "-" : LoggedParts(*caller)},
            {"began", attempt->last_progress == TimePoint() ? "no" : "yes"},
            {"group", attempt->group},
            {"host", attempt->host},
            {"result", AttemptResultName(end.result)},
            {"status", std::to_string(end.status)},
            {"events", std::to_string(StreamOf(attempt.get())->events())},
            {"framing", AnswerFramingName(end.framing)},
            {"verified_by", EndEvidenceName(end.evidence)},
            {"verified_ms", std::to_string(end.verified_for.count())},
            {"reused", end.reused ? "yes" : "no"},
            {"named", attempt->names_request ? "yes" : "no"},
            {"ms", Milliseconds(m_context.now() - attempt->started)},
            {"detail", end.detail}});
  m_context.metrics->Add(
      "clementine_attempts_ended_total",
      fmt::format("result=\"{}\"", AttemptResultName(end.result)));
  CountAnswer(end, m_context.metrics);
  // The request path gets the backoff with AttemptEnded.
  if (end.BusyFor() > milliseconds(0)) {
    m_context.feed_fleet(ServerBusy{attempt->host, end.BusyFor()});
  }
  ReportUnresponsiveGroup(*attempt, end);
  m_silence.OnAttemptEnded(attempt->id);
  bool answered = end.result == AttemptResult::kComplete ||
                  end.result == AttemptResult::kError;
  if (answered && CanAnswer(*attempt)) {
    if (complete && attempt->status / 100 == 2) Decide(attempt.get());
    caller->answered_by = attempt->id;
    caller->status = attempt->status;
    caller->answer_headers = std::move(attempt->headers);
    caller->answer_body = std::move(attempt->body);
  }
  AttemptEnded ended;
  ended.attempt = attempt->id;
  ended.result = end.result;
  // An attempt that runs beside another one and wasn't decided for has
  // delivered nothing.
  if (attempt->own_stream == nullptr) ended.offset = caller->stream.events();
  ended.retry_after = end.retry_after;
  ended.status = end.status;
  m_context.feed(std::move(ended));
}

void RelayExecutor::CheckSilence() {
  SilenceWatch::Findings found = m_silence.Check(m_context.now());
  for (const auto& [group, epoch] : found.unresponsive) {
    m_context.feed_fleet(GroupUnresponsive{group, epoch});
  }
  for (AttemptId attempt : found.stalled) {
    m_context.feed(AttemptStalled{attempt});
  }
}

// A head that refuses connections or does not accept any is reported as
// unresponsive, and so is one whose connections have all ended: its process is
// gone, though its address may accept connections for a while.
void RelayExecutor::ReportUnresponsiveGroup(const Attempt& attempt,
                                            const BackendEnd& end) {
  bool unresponsive = end.result == AttemptResult::kTimedOut;
  bool unreachable = end.result == AttemptResult::kNotSent;
  bool gone = end.result == AttemptResult::kCrashed ||
              (end.result == AttemptResult::kBroken &&
               end.evidence == EndEvidence::kConnections);
  if (!unresponsive && !unreachable && !gone) return;
  if (unresponsive && m_silence.HasGroupRespondedSince(attempt.id)) return;
  m_context.feed_fleet(GroupUnresponsive{attempt.group, attempt.epoch});
}

// ---------------------------------------------------------------------------
// Final answers.

std::shared_ptr<RelayExecutor::Caller> RelayExecutor::TakeCaller(RequestId id) {
  auto found = m_callers.find(id);
  if (found == m_callers.end()) return nullptr;
  std::shared_ptr<Caller> caller = found->second;
  m_callers.erase(found);
  return caller;
}

void RelayExecutor::On(const Finish& finish) {
  std::shared_ptr<Caller> caller = TakeCaller(finish.request);
  if (!caller) return;
  bool has_answer =
      caller->answered_by == finish.attempt && caller->status != 0;
  bool success = caller->status / 100 == 2;
  if (caller->head_sent && has_answer && success) {
    caller->exchange->EndStream();
    LogAnswer(*caller, "complete", caller->status, "");
  } else if (caller->head_sent) {
    // Closing the connection is the only way to report a failure after the head
    // was sent.
    caller->exchange->Abort();
    LogAnswer(*caller, "cut_off", caller->status, "no_answer");
  } else if (!has_answer) {
    caller->exchange->Answer(http_status::kBadGateway, {}, "");
    LogAnswer(*caller, OutcomeName(Outcome::kUnknown), http_status::kBadGateway,
              "no_answer");
  } else {
    caller->exchange->Answer(caller->status, caller->answer_headers,
                             caller->answer_body);
    LogAnswer(*caller, success ? "complete" : "failed", caller->status, "");
  }
}

void RelayExecutor::On(const Refuse& refuse) {
  std::shared_ptr<Caller> caller = TakeCaller(refuse.request);
  const char* reason = RefusalReasonName(refuse.reason);
  m_context.metrics->Add("clementine_refused_total",
                         fmt::format("reason=\"{}\"", reason));
  if (!caller) return;
  if (caller->head_sent) {
    caller->exchange->Abort();
    LogAnswer(*caller, "cut_off", caller->status, reason);
    return;
  }
  bool not_run = refuse.outcome == Outcome::kNotRun;
  auto demand = m_demand.find(caller->request.model);
  if (not_run && demand != m_demand.end()) ++demand->second.refused;
  int status = http_status::kBadGateway;
  if (refuse.reason == RefusalReason::kDeadline) {
    status = http_status::kGatewayTimeout;
  }
  if (not_run) status = http_status::kUnavailable;
  HttpHeaders headers = {{"Content-Type", "text/plain"}};
  if (not_run) {
    headers.emplace_back("Retry-After", Seconds(refuse.retry_after));
  }
  caller->exchange->Answer(status, headers, std::string(reason) + "\n");
  LogAnswer(*caller, OutcomeName(refuse.outcome), status, reason);
}

void RelayExecutor::LogAnswer(const Caller& caller, const char* outcome,
                              int status, const char* reason) {
  TimePoint now = m_context.now();
  bool stream = caller.route->kind == RouteKind::kStream;
  bool first = caller.first_event != TimePoint();
  LogEvent("answer",
           {{"request", std::to_string(caller.id)},
            {"caller_request", caller.headers.request_id},
            {"route", caller.route->name},
            {"organisation", caller.request.organisation},
            {"outcome", outcome},
            {"status", std::to_string(status)},
            {"reason", reason},
            {"group", caller.group},
            {"events", std::to_string(caller.stream.events())},
            {"first_ms",
             first ? Milliseconds(caller.first_event - caller.arrived) : "-"},
            {"total_ms", Milliseconds(now - caller.arrived)}});
  std::string label = stream ? "class=\"stream\"" : "class=\"plain\"";
  m_context.metrics->Add("clementine_answers_total",
                         fmt::format("{},outcome=\"{}\"", label, outcome));
  std::chrono::duration<double> latency =
      (stream && first ? caller.first_event : now) - caller.arrived;
  Metrics::Observe(m_context.metrics->Find("clementine_latency_seconds", label),
                   latency.count(), now);
}

// Forwarded requests have no idempotency keys; nothing is stored for them.
void RelayExecutor::On(const Replay& /*replay*/) {}
void RelayExecutor::On(const GetObject& /*get*/) {}
void RelayExecutor::On(const PutObject& /*put*/) {}
void RelayExecutor::On(const DeleteObject& /*del*/) {}

void RelayExecutor::On(const ShareQuarantine& share) { m_context.share(share); }

void RelayExecutor::On(const LogDecision& log) {
  LogEvent(log.event, log.fields);
}

}  // namespace clementine
