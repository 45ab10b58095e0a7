#include "Objects/Validator.h"

#include "Objects/Checks.h"

#include <array>

namespace Objects {

namespace {

    constexpr std::array setChecks { checkFields, checkDomains, checkObjects, checkCapacity };

} // namespace

std::vector<ObjectError> Validator::validate(const ObjectSet& set, const SourceMap& sources)
{
    ErrorCollector errors(sources);
    for (const auto check : setChecks)
        check(set, errors);
    return errors.take();
}

std::vector<ObjectError> Validator::validateChange(const ObjectSet& base, const ObjectSet& next, const SourceMap& sources)
{
    ErrorCollector errors(sources);
    checkChange(base, next, errors);
    return errors.take();
}

} // namespace Objects
