#ifndef LIBSTATEMENT_FORWARD_H_
#define LIBSTATEMENT_FORWARD_H_

namespace kingcupmill {

enum class SessionState;
enum class StatementErrorCode;
enum class StatementKind;
struct CallerStatement;
struct PreparedShape;
struct StatementAnswer;
struct TargetReport;
class SessionContext;

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_FORWARD_H_
