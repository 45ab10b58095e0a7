#pragma once

/// Linear regression of measured points, and the Markdown tables of docs/CAPACITY.md.

#include <string>
#include <vector>

namespace Slopes {

/// One measurement: the value at a size.
struct Point {
    double size = 0;
    double value = 0;
};

/// A quantity measured at several sizes.
struct Series {
    std::string name;
    std::string unit; ///< Of the value.
    std::string per; ///< What the size counts, in the singular.
    std::vector<Point> points;
};

/// Least-squares line: value = fixed + slope * size.
struct Line {
    double fixed = 0;
    double slope = 0;
    double fit = 1; ///< Share of the variance that the line explains (R squared); 1 for a constant.
};

/// Fits a line. The points must not be empty; if all sizes are equal, the slope is 0.
Line fitLine(const std::vector<Point>&);

/// Heading of a table of series: two lines of Markdown.
std::string tableHeading();
/// Row of a table of series: one line of Markdown with the points and the fitted line.
std::string tableRow(const Series&);

/// Heading of a table of single values: two lines of Markdown.
std::string valueHeading();
/// Row of a table of single values: one line of Markdown with the series' first point.
std::string valueRow(const Series&);

} // namespace Slopes
