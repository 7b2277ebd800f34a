#include "daemon/common_metrics.h"

#include "fmt/format.h"

namespace clementine {

void SetCommonMetrics(const RequestPathStats& path,
                      const HttpServerStats& server,
                      const BackendStats& backend, Metrics* metrics) {
  metrics->SetTotal("clementine_dispatched_total", "", path.dispatched);
  metrics->SetTotal("clementine_retried_total", "", path.retried);
  metrics->SetTotal("clementine_hedges_started_total", "", path.hedged);
  metrics->SetTotal("clementine_hedges_won_total", "", path.hedges_won);
  metrics->SetTotal("clementine_hedges_cancelled_total", "",
                    path.hedges_cancelled);
  for (std::size_t i = 0; i < kHedgeDenials; ++i) {
    metrics->SetTotal("clementine_hedges_denied_total",
                      fmt::format("reason=\"{}\"",
                                  HedgeDenialName(static_cast<HedgeDenial>(i))),
                      path.hedges_denied[i]);
  }
  metrics->SetTotal("clementine_quarantined_total", "", path.quarantined);
  metrics->SetTotal("clementine_cold_waits_total", "", path.cold_waits);
  metrics->SetTotal("clementine_crash_marks_total", "", path.crash_marks);
  metrics->Set("clementine_crash_suspects", "",
               static_cast<double>(path.suspects));
  metrics->Set("clementine_in_flight", "", static_cast<double>(path.in_flight));
  metrics->Set("clementine_queued", "", static_cast<double>(path.queued));
  for (const PoolLimitStats& limit : path.limits) {
    std::string label = fmt::format("pool=\"{}\"", limit.pool);
    metrics->Set("clementine_limit_fair_share", label, limit.fair_share);
    metrics->Set("clementine_limit_margin", label, limit.margin);
    metrics->Set("clementine_limit_requests", label, limit.limit);
    metrics->SetTotal("clementine_limit_lowered_total",
                      label + ",reason=\"late\"", limit.late);
    metrics->SetTotal("clementine_limit_lowered_total",
                      label + ",reason=\"server_full\"", limit.full);
  }
  metrics->Set("clementine_connections", "",
               static_cast<double>(server.connections));
  metrics->SetTotal("clementine_malformed_total", "", server.malformed);
  metrics->SetTotal("clementine_callers_left_total", "", server.callers_left);
  metrics->SetTotal("clementine_backend_calls_total", "", backend.calls);
  metrics->SetTotal("clementine_backend_connects_total", "", backend.connects);
  metrics->SetTotal("clementine_frames_dropped_total", "",
                    backend.frames_dropped);
  metrics->SetTotal("clementine_answers_dropped_total", "",
                    backend.dropped_answers);
  metrics->SetTotal("clementine_answers_oversized_total", "",
                    backend.oversized_answers);
  metrics->SetTotal("clementine_answers_invalid_total", "",
                    backend.invalid_answers);
  metrics->SetTotal("clementine_answers_unverified_total", "",
                    backend.unverified_answers);
  metrics->SetTotal("clementine_requests_dropped_total", "",
                    server.dropped_requests);
  metrics->Set("clementine_held_bytes", "from=\"backends\"",
               static_cast<double>(backend.held_bytes));
  metrics->Set("clementine_held_bytes", "from=\"callers\"",
               static_cast<double>(server.held_bytes));
}

void CountAnswer(const BackendEnd& end, Metrics* metrics) {
  if (end.framing == AnswerFraming::kNone) return;
  metrics->Add("clementine_answers_received_total",
               fmt::format("framing=\"{}\",result=\"{}\"",
                           AnswerFramingName(end.framing),
                           AttemptResultName(end.result)));
}

}  // namespace clementine
