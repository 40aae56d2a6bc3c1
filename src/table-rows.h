/// \file
/// The rows of a table as text and after the checks of their cells.

#ifndef MULBERRYHOIST_TABLE_ROWS_H
#define MULBERRYHOIST_TABLE_ROWS_H

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/table.h"

namespace mulberryhoist::detail {

inline constexpr std::size_t ColumnCount = 10;
inline constexpr std::string_view ClosedShare = "closed";
inline constexpr std::string_view EpochMark = "epoch";
inline constexpr std::string_view EndMark = "end";

enum Column : std::size_t {
  ServiceColumn,
  AddressColumn,
  ClassColumn,
  ShareColumn,
  UpstreamColumn,
  EndpointColumn,
  ZoneColumn,
  WeightColumn,
  SlotsColumn,
  ConnectionsColumn,
};

inline constexpr std::array<std::string_view, ColumnCount> ColumnNames = {
    "service",  "address", "class",  "share", "upstream",
    "endpoint", "zone",    "weight", "slots", "connections"};

/// The text cells of one line, in the order of `ColumnNames`.
struct CellLine {
  std::size_t Number = 0;
  std::array<std::string, ColumnCount> Cells;
};

/// A row whose cells passed the checks that need no other row.
struct CheckedRow {
  std::size_t Line = 0;
  Service OfService;
  Upstream OfUpstream;
  std::uint32_t Weight = 0;
};

/// Makes a cell safe to print in an error: bounded and printable.
std::string printable(std::string_view Text);

/// Returns the error of a cell, with its line and column.
tl::unexpected<Error> cellError(std::size_t Line, std::string_view ColumnName,
                                std::string_view Value,
                                std::string_view Problem);
tl::unexpected<Error> cellError(const CellLine &Line, Column Which,
                                std::string_view Problem);

/// Reads a decimal number that is the whole text.
std::optional<std::uint32_t> readNumber(std::string_view Text);

/// Splits CSV text with a header into lines of cells.
Result<std::vector<CellLine>> readCells(std::string_view Csv);

/// Checks the cells of each line.
Result<std::vector<CheckedRow>> checkRows(std::span<const CellLine> Lines);

/// Checks rows that another process sent. They are not read as CSV, whose
/// reader needs a buffer of 48 MB.
Result<std::vector<CheckedRow>> checkRowTexts(std::span<const RowText> Rows);

/// The canonical text of a row, so that equal rows have equal text.
RowText formatRow(const CheckedRow &Row);

/// Checks rows against each other.
std::optional<Error> checkConsistency(std::span<const CheckedRow> Rows);

} // namespace mulberryhoist::detail

#endif // MULBERRYHOIST_TABLE_ROWS_H
