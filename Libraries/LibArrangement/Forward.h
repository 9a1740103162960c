#ifndef LIBARRANGEMENT_FORWARD_H_
#define LIBARRANGEMENT_FORWARD_H_

namespace kingcupmill {

class ArrangementParser;
struct Application;
struct Arrangement;
struct Group;
struct Place;
struct Target;

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_FORWARD_H_
