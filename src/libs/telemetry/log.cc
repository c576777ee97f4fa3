#include "telemetry/log.h"

#include <pthread.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <csignal>
#include <ostream>

#include "telemetry/event_limiter.h"
#include "telemetry/log_line.h"

namespace chestnutport::telemetry {
namespace {

namespace attributes = boost::log::attributes;
namespace expr = boost::log::expressions;
namespace sinks = boost::log::sinks;

// More than there are events.
constexpr size_t kMostEvents = 256;

std::atomic<Level> g_least{Level::kInfo};
std::atomic<uint64_t> g_dropped{0};
std::array<std::atomic<uint64_t>, kMostEvents> g_suppressed{};

size_t PlaceOf(Event event) {
  const auto row = static_cast<size_t>(&Describe(event) - EventTable().data());
  return std::min(row, kMostEvents - 1);
}

// What Boost.Log's queue does when it is full.
class CountDropped {
 protected:
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view& /*record*/,
                          Lock& /*lock*/) {
    g_dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using Queue = sinks::bounded_fifo_queue<LogSession::kQueueLines, CountDropped>;
using AsyncSink = sinks::asynchronous_sink<sinks::text_ostream_backend, Queue>;

// Keeps signals from the thread that is started meanwhile: they are for the
// control thread.
class BlockedSignals {
 public:
  BlockedSignals() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before_);
  }
  ~BlockedSignals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

 private:
  sigset_t before_{};
};

auto LineFormat(std::string_view node_name) {
  return expr::stream << "time="
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "Time", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << " node=" << std::string(node_name) << " "
                      << expr::smessage;
}

}  // namespace

struct LogSession::Sink {
  boost::shared_ptr<AsyncSink> async;
};

LogSession::LogSession(std::string_view node_name,
                       Level least,
                       std::ostream& out)
    : sink_(std::make_unique<Sink>()) {
  g_least = least;
  auto writer = boost::make_shared<sinks::text_ostream_backend>();
  writer->add_stream(
      boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
  writer->auto_flush(true);
  const BlockedSignals blocked;
  sink_->async = boost::make_shared<AsyncSink>(writer);
  sink_->async->set_formatter(LineFormat(node_name));
  boost::log::core::get()->add_global_attribute("Time",
                                                attributes::utc_clock());
  boost::log::core::get()->add_sink(sink_->async);
}

LogSession::~LogSession() {
  boost::log::core::get()->remove_sink(sink_->async);
  sink_->async->stop();
  sink_->async->flush();
}

namespace {

void Write(EventLimiter& limiter,
           Event event,
           std::initializer_list<Field> fields) {
  if (Describe(event).level < g_least.load(std::memory_order_relaxed))
    return;
  const auto suppressed = limiter.Admit(event, base::Clock::now());
  if (!suppressed) {
    g_suppressed[PlaceOf(event)].fetch_add(1, std::memory_order_relaxed);
    return;
  }
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << FormatLogLine(event, fields, *suppressed);
}

}  // namespace

void LogEvent(Event event, std::initializer_list<Field> fields) {
  thread_local EventLimiter limiter;
  Write(limiter, event, fields);
}

void LogRequestEvent(Event event, std::initializer_list<Field> fields) {
  thread_local EventLimiter limiter(kRequestLines);
  Write(limiter, event, fields);
}

std::vector<SuppressedEvent> SuppressedEvents() {
  std::vector<SuppressedEvent> all;
  for (const EventDescription& row : EventTable()) {
    const uint64_t count = g_suppressed[PlaceOf(row.event)];
    if (count > 0)
      all.push_back({row.event, count});
  }
  return all;
}

uint64_t DroppedLines() {
  return g_dropped;
}

}  // namespace chestnutport::telemetry
