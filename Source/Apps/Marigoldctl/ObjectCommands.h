#pragma once

/// Commands about documents: validate, schema and diff.

#include "CommandContext.h"
#include "CtlError.h"
#include "Objects/Diff.h"
#include "Objects/ObjectParser.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Ctl {

ExitCode runValidate(CommandContext&);
ExitCode runSchema(CommandContext&);
ExitCode runDiff(CommandContext&);

/// Faults of operators' objects, each with its place.
class InvalidObjects : public CtlError {
public:
    explicit InvalidObjects(std::vector<Objects::ObjectError>);

    const std::vector<Objects::ObjectError>& all() const { return m_errors; }

private:
    std::vector<Objects::ObjectError> m_errors;
};

/// The valid set of the files; throws InvalidObjects.
Objects::ParsedSet loadPaths(const std::vector<std::string>& paths);

/// The set that a server has in force; empty before the first publication.
Objects::ObjectSet setOf(const Configuration&);

} // namespace Ctl
