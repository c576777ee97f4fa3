// Declared shares of a server under contention.
#ifndef ADMISSION_TRAFFIC_SHARES_H_
#define ADMISSION_TRAFFIC_SHARES_H_

#include <string>
#include <vector>

namespace chestnutport::admission {

struct ClassUrgency {
  std::string name;
  int urgency = 1;  // Lower values go first.

  bool operator==(const ClassUrgency&) const = default;
};

struct TenantShare {
  std::string name;
  int share = 1;

  bool operator==(const TenantShare&) const = default;
};

struct TrafficShares {
  std::vector<ClassUrgency>
      classes;                       // Undeclared classes are the least urgent.
  std::vector<TenantShare> tenants;  // Undeclared tenants have a share of 1.

  bool operator==(const TrafficShares&) const = default;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_TRAFFIC_SHARES_H_
