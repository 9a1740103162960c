#ifndef LIBPRIMARY_FORWARD_H_
#define LIBPRIMARY_FORWARD_H_

namespace kingcupmill {

enum class PrimaryState;
struct PrimaryRecord;
class PositionSamples;
class PrimaryLeases;

}  // namespace kingcupmill

#endif  // LIBPRIMARY_FORWARD_H_
