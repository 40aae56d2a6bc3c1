/// \file
/// Splits the rows of a table into cells and checks them.

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
inline constexpr std::string_view EpochRowName = "epoch";
inline constexpr std::string_view EndRowName = "end";

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

/// The cells of one line as text, in the order of `ColumnNames`.
struct CellLine {
  std::size_t Number = 0;
  std::array<std::string, ColumnCount> Cells;
};

/// A row whose cells are valid by themselves, before it is compared with other
/// rows.
struct CheckedRow {
  std::size_t Line = 0;
  Service OfService;
  Upstream OfUpstream;
  std::uint32_t Weight = 0;
};

/// Returns text that is safe to print in an error: limited in length, with
/// control and non-ASCII characters replaced.
std::string printable(std::string_view Text);

/// Returns an `InvalidTable` error that names the line, column and value.
tl::unexpected<Error> cellError(std::size_t Line, std::string_view ColumnName,
                                std::string_view Value,
                                std::string_view Problem);
tl::unexpected<Error> cellError(const CellLine &Line, Column Index,
                                std::string_view Problem);

/// Parses a decimal number of at most 32 bits; returns nothing unless it is the
/// whole text.
std::optional<std::uint32_t> readNumber(std::string_view Text);

/// Splits CSV text with a header into lines of cells.
Result<std::vector<CellLine>> readCells(std::string_view Csv);

/// Checks the cells of each line by themselves; reports the first error.
Result<std::vector<CheckedRow>> checkRows(std::span<const CellLine> Lines);

/// Checks rows that another process sent. Splits them without the CSV reader,
/// which allocates a buffer of 48 MB.
Result<std::vector<CheckedRow>> checkRowTexts(std::span<const RowText> Rows);

/// Returns the canonical text of a row; equal rows have equal text.
RowText formatRow(const CheckedRow &Row);

/// Checks that rows are consistent with each other.
std::optional<Error> checkConsistency(std::span<const CheckedRow> Rows);

} // namespace mulberryhoist::detail

#endif // MULBERRYHOIST_TABLE_ROWS_H
