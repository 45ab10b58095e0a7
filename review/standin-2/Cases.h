#pragma once

/// The cases of the review: each plays a disruption against a deployment and says whether a rule was broken.

#include "Deployment.h"

#include <string>

namespace Review {

/// What a case needs and does.
struct Case {
    const char* name;
    unsigned hosts; ///< Entry hosts.
    bool (*play)(Deployment&, bool hasTrouble); ///< True if the rule was broken. Throws CannotRun if it couldn't run.
};

/// Null when there is no such case.
const Case* findCase(const std::string& name);

} // namespace Review
