// A node: its threads and the messages between them.
#ifndef NODE_NODE_H_
#define NODE_NODE_H_

#include <memory>
#include <string>

#include "base/result.h"
#include "node/adapters.h"
#include "settings/node_settings.h"

namespace chestnutport::node {

// The thread that calls Run() is the control thread; the ingress and the gate
// run on one thread each. The threads communicate by posting values to each
// other's event loop.
class Node {
 public:
  // `settings_path` is the settings file, which is watched for changes; empty
  // if there is none.
  Node(const settings::NodeSettings& settings,
       const Adapters& adapters,
       const std::string& settings_path);
  ~Node();

  // Binds every listener and logs the addresses.
  base::Result<bool> Start();
  // Runs until SIGTERM or SIGINT, then drains for up to the stop grace.
  void Run();

 private:
  struct Threads;

  void OnSignal();
  void BeginStop();
  // Applies the settings that may change while the node runs.
  void OnSettingsChanged(const settings::NodeSettings& changed);
  void DrainTraffic();
  void OnThreadDrained();
  void FinishStop();

  settings::NodeSettings settings_;
  std::unique_ptr<Threads> threads_;
};

}  // namespace chestnutport::node

#endif  // NODE_NODE_H_
