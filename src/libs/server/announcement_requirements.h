// What is required of the announcements and deregistrations of the local
// server.
#ifndef SERVER_ANNOUNCEMENT_REQUIREMENTS_H_
#define SERVER_ANNOUNCEMENT_REQUIREMENTS_H_

#include <string>
#include <vector>

namespace chestnutport::server {

// A message that does not meet the requirements comes from another sender than
// the server and is rejected.
struct AnnouncementRequirements {
  // Whether announcements and deregistrations name the instance.
  bool has_instance = false;
  // JSON fields of an announcement beside service, address and slots. Those
  // that a node does not read itself have to be strings.
  std::vector<std::string> fields;
  // The service that a server may name before it is declared; any if empty.
  std::string service;
};

}  // namespace chestnutport::server

#endif  // SERVER_ANNOUNCEMENT_REQUIREMENTS_H_
