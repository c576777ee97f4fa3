// Clients that keep connections open, and what they saw.
#ifndef REVIEW_STANDIN_2_CLIENTS_H_
#define REVIEW_STANDIN_2_CLIENTS_H_

#include <set>

#include "platform.h"

namespace review {

// Which requests servers began to run.
class RunLedger {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  int Count(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

struct Request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string host = "a.example";
  size_t body_size = 0;
  Ms time_budget{1500};
  std::string Bytes() const {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(time_budget.count()) +
           "\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n" +
           std::string(body_size, 'x');
  }
};

inline const char* kTwoRoutes =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts",)"
    R"("trafficSplit"],"rows":[["r-1","a.example","/set/","non_idempotent",)"
    R"("1500ms","300ms",1,"svc",2,null],["r-2","a.example","/read/",)"
    R"("idempotent","1200ms","300ms",2,"svc",2,null]]},"services":{"columns":)"
    R"(["name","healthPath","maxConnections","protocol","tls"],"rows":[["svc",)"
    R"("/healthz",220,"h1",false]]},"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":)"
    R"("15000ms"},"baseVersion":5})";

}  // namespace review

#endif  // REVIEW_STANDIN_2_CLIENTS_H_
