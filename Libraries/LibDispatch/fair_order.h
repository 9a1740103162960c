#ifndef LIBDISPATCH_FAIR_ORDER_H_
#define LIBDISPATCH_FAIR_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// The order in which the waiting requests of a group are started: by the
// priority of the route, then by that of the customer, then by start-time fair
// queueing between the customers, and within a customer by least time left.
// Where all requests belong to one customer, or none are declared, the order is
// (route priority, due time, number).
//
// Each customer has a start tag, the virtual time at which its next request is
// due to start; a start moves it by 1 / weight. The customer with the least tag
// is served first, so that under overload customers get starts in proportion to
// their weights, and the backlog of one does not delay the others.
class FairOrder {
 public:
  using RequestNumber = uint64_t;

  struct Entry {
    int route_priority = 0;
    int customer_priority = 0;
    CustomerName customer;
    // More than zero.
    double weight = 1;
    TimePoint due_at;
    // Unique among the waiting requests.
    RequestNumber number = 0;
  };

  void Add(const Entry& entry);
  // Removes a request that is not started.
  void Remove(const Entry& entry);
  // Removes a request that is started, and charges its customer for it.
  void Start(const Entry& entry);

  // Returns the waiting requests in the order in which they would be started if
  // no others arrived.
  std::vector<RequestNumber> InOrder() const;
  // Returns how many requests InOrder() has before this one.
  size_t CountBefore(const Entry& entry) const;
  // Returns how many of these have the same priorities.
  size_t CountBeforeOfPriority(const Entry& entry) const;
  // Returns how many requests of the same customer and priorities are before
  // this one.
  size_t CountBeforeOfCustomer(const Entry& entry) const;

  // Returns how many requests of the same priorities are waiting.
  size_t CountOfPriority(const Entry& entry) const;

  size_t size() const { return this->waiting_count; }

 private:
  // The waiting requests of a customer, least time left first.
  using Requests = std::set<std::pair<TimePoint, RequestNumber>>;
  struct Flow {
    double start_tag = 0;
    double weight = 1;
    Requests requests;
  };
  struct IdleTag {
    double start_tag = 0;
    // The virtual time from which on the tag makes no difference.
    double forget_at = 0;
  };
  // The requests of one route priority and customer priority.
  struct Class {
    // The greatest start tag that was served.
    double virtual_time = 0;
    size_t waiting_count = 0;
    std::map<CustomerName, Flow> flows;
    // The start tags of customers without a waiting request, until they no
    // longer matter.
    std::map<CustomerName, IdleTag> idle_tags;
    // The size of `idle_tags` at which those that no longer matter are removed.
    size_t prune_at = 0;

    // Returns the start tag of a customer's request that has `ahead` others of
    // the same customer before it.
    double StartOf(const Flow& flow, size_t ahead) const;
    void Prune();
    void AppendInOrder(std::vector<RequestNumber>& numbers) const;
    // Returns how many requests of `flow` are before a request of another
    // customer that has the start tag `start`.
    size_t CountBefore(const Flow& flow,
                       double start,
                       const Requests::value_type& request) const;
  };
  using ClassKey = std::pair<int, int>;

  static ClassKey KeyOf(const Entry& entry) {
    return {entry.route_priority, entry.customer_priority};
  }
  void Remove(const Entry& entry, bool is_started);

  std::map<ClassKey, Class> classes;
  size_t waiting_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_FAIR_ORDER_H_
