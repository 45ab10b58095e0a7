#pragma once

/// Straight lines through measured points, and the rows of docs/CAPACITY.md that show them.

#include <string>
#include <vector>

namespace Slopes {

/// One measurement.
struct Point {
    double size = 0;
    double value = 0;
};

/// A quantity measured at several sizes.
struct Series {
    std::string name;
    std::string unit; ///< Of the value.
    std::string per; ///< What the size counts.
    std::vector<Point> points;
};

/// Least-squares line through the points.
struct Line {
    double fixed = 0;
    double slope = 0;
    double fit = 1; ///< Share of the variance that the line explains (R squared); 1 for a constant.
};

Line fitLine(const std::vector<Point>&);

/// Heading of a table of series, two lines of Markdown.
std::string tableHeading();
/// Row of a series, one line of Markdown.
std::string tableRow(const Series&);

/// Heading and row of a table of single values.
std::string valueHeading();
std::string valueRow(const Series&);

} // namespace Slopes
