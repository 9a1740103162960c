#ifndef LIBROUTING_FORWARD_H_
#define LIBROUTING_FORWARD_H_

namespace kingcupmill {

class ReadRouter;
class WriteAdmission;
struct ReadDecision;
struct ReadQuery;
struct TargetLoad;

}  // namespace kingcupmill

#endif  // LIBROUTING_FORWARD_H_
