#pragma once

/// Plain-text tables.

#include <string>
#include <vector>

namespace Ctl {

/// Left-aligned columns, each as wide as its widest cell, with two spaces in between. Control characters are shown as '?'.
class Table {
public:
    explicit Table(std::vector<std::string> headings);

    /// Missing cells are left empty; cells past the last heading are dropped.
    void addRow(std::vector<std::string> cells);
    /// Headings and rows, one line each, without trailing spaces.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows; ///< Headings first.
};

/// Replaces control characters by '?', so that names and reasons from a server can't send escape sequences to the terminal.
std::string printable(std::string);

} // namespace Ctl
