#include "Decision/Requests/RequestTypes.h"

namespace Decision {

Answer notRun(Reason reason, std::chrono::milliseconds retryAfter)
{
    Answer answer;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

Answer unknown(Reason reason, std::chrono::milliseconds retryAfter)
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace Decision
