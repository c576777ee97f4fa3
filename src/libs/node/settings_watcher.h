// Watches the settings file and applies changes while the node runs. Runs on
// the control thread.
#ifndef NODE_SETTINGS_WATCHER_H_
#define NODE_SETTINGS_WATCHER_H_

#include <functional>
#include <string>

#include "net/event_loop.h"
#include "settings/node_settings.h"

namespace chestnutport::node {

// The file is read periodically and when a reload is requested by a signal. An
// unreadable or invalid file is logged and otherwise ignored.
class SettingsWatcher {
 public:
  // Called with the new settings if the file has changed and is valid.
  using Handler = std::function<void(const settings::NodeSettings&)>;

  // `loop` must outlive this object. Does nothing if `path` is empty.
  SettingsWatcher(net::EventLoop& loop, std::string path, Handler handler);
  ~SettingsWatcher();

  void Start();
  // Reads the file now. If `is_requested`, the reload is logged even if the
  // file has not changed.
  void Reload(bool is_requested);

 private:
  void SchedulePoll();

  net::EventLoop& loop_;
  std::string path_;
  Handler handler_;
  std::string text_;  // Content when last read.
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::node

#endif  // NODE_SETTINGS_WATCHER_H_
