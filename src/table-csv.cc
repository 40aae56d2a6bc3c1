#include <algorithm>
#include <fmt/format.h>

#include "table-rows.h"

// g++ 12 warns about the library's bounded copy of file names when it is
// inlined; the library terminates the copy itself.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wstringop-truncation"
#endif
#define CSV_IO_NO_THREAD
#include <libfccp/csv.h>

namespace mulberryhoist {
namespace detail {
namespace {

/// Appends one line without its carriage return; adds the empty cells that the
/// epoch row and the end row may leave out.
void appendPaddedLine(std::string &Out, std::string_view Line) {
  const bool CarriageReturn = !Line.empty() && Line.back() == '\r';
  if (CarriageReturn) {
    Line.remove_suffix(1);
  }
  Out += Line;
  if (Line.starts_with("epoch,") || Line.starts_with("end,")) {
    const auto Commas =
        static_cast<std::size_t>(std::count(Line.begin(), Line.end(), ','));
    if (Commas == 1) {
      Out.append(ColumnCount - 1 - Commas, ',');
    }
  }
  Out += '\n';
}

using CsvReader = io::CSVReader<ColumnCount, io::trim_chars<' ', '\t'>,
                                io::double_quote_escape<',', '"'>>;

Result<std::vector<CellLine>> readLines(CsvReader &Reader) {
  Reader.read_header(io::ignore_no_column, "service", "address", "class",
                     "share", "upstream", "endpoint", "zone", "weight", "slots",
                     "connections");
  std::vector<CellLine> Lines;
  CellLine Line;
  auto &Cells = Line.Cells;
  while (Reader.read_row(Cells[0], Cells[1], Cells[2], Cells[3], Cells[4],
                         Cells[5], Cells[6], Cells[7], Cells[8], Cells[9])) {
    Line.Number = Reader.get_file_line();
    Lines.push_back(Line);
  }
  return Lines;
}

} // namespace

Result<std::vector<CellLine>> readCells(std::string_view Csv) {
  // The CSV reader treats lines as C strings, so that a null byte would hide
  // the rest of a line. Without a final newline it reads one byte past the
  // end of the text.
  if (const auto Nul = Csv.find('\0'); Nul != std::string_view::npos) {
    const auto Line = std::count(Csv.begin(), Csv.begin() + Nul, '\n') + 1;
    return makeError(
        ErrorKind::InvalidTable,
        fmt::format("line {}, byte {}: '\\0' is not text", Line, Nul + 1));
  }
  std::string Text;
  Text.reserve(Csv.size() + ColumnCount);
  while (!Csv.empty()) {
    const std::size_t LineEnd = std::min(Csv.find('\n'), Csv.size() - 1);
    appendPaddedLine(Text, Csv.substr(0, LineEnd));
    Csv.remove_prefix(LineEnd + 1);
  }
  std::size_t Line = 1;
  try {
    CsvReader Reader("table", Text.data(), Text.data() + Text.size());
    return readLines(Reader);
  } catch (const io::error::extra_column_in_header &Problem) {
    return cellError(Line, Problem.column_name, Problem.column_name,
                     "is not a known column");
  } catch (const io::error::missing_column_in_header &Problem) {
    return cellError(Line, Problem.column_name, Problem.column_name,
                     "is missing from the header");
  } catch (const io::error::duplicated_column_in_header &Problem) {
    return cellError(Line, Problem.column_name, Problem.column_name,
                     "appears twice in the header");
  } catch (const io::error::too_few_columns &Problem) {
    Line = static_cast<std::size_t>(Problem.file_line);
  } catch (const io::error::too_many_columns &Problem) {
    Line = static_cast<std::size_t>(Problem.file_line);
  } catch (const io::error::escaped_string_not_closed &Problem) {
    Line = static_cast<std::size_t>(std::max(Problem.file_line, 1));
  } catch (const std::exception &Problem) {
    return makeError(ErrorKind::InvalidTable,
                     fmt::format("line 1: {}", printable(Problem.what())));
  }
  std::string_view Shown = Text;
  for (std::size_t Skipped = 1; Skipped < Line; ++Skipped) {
    Shown.remove_prefix(Shown.find('\n') + 1);
  }
  return cellError(
      Line, fmt::format("1 to {}", ColumnCount),
      Shown.substr(0, Shown.find('\n')),
      fmt::format("does not have {} well-formed cells", ColumnCount));
}

} // namespace detail

namespace {

using namespace detail;

/// Checks and removes the epoch row and the end row; returns the epoch, which
/// is 0 if there is no epoch row.
Result<std::uint32_t> removeEpochAndEndRows(std::span<const CellLine> &Lines) {
  const auto HasOnlyTwoCells = [](const CellLine &Line) {
    return std::all_of(Line.Cells.begin() + ClassColumn, Line.Cells.end(),
                       [](const std::string &Cell) { return Cell.empty(); });
  };
  if (Lines.empty() || Lines.back().Cells[ServiceColumn] != EndRowName ||
      !HasOnlyTwoCells(Lines.back())) {
    return makeError(
        ErrorKind::IncompleteTable,
        fmt::format("line {}, column service: '{}' is not the row end,ROWS",
                    Lines.empty() ? 1 : Lines.back().Number,
                    Lines.empty() ? std::string()
                                  : printable(Lines.back().Cells[0])));
  }
  const CellLine &End = Lines.back();
  Lines = Lines.first(Lines.size() - 1);
  std::uint32_t Epoch = 0;
  if (!Lines.empty() && Lines.front().Cells[ServiceColumn] == EpochRowName) {
    const auto Value = readNumber(Lines.front().Cells[AddressColumn]);
    if (!Value || !HasOnlyTwoCells(Lines.front())) {
      return cellError(Lines.front(), AddressColumn,
                       "is not the number of an epoch row");
    }
    Epoch = *Value;
    Lines = Lines.subspan(1);
  }
  if (readNumber(End.Cells[AddressColumn]) != Lines.size()) {
    return makeError(
        ErrorKind::IncompleteTable,
        fmt::format("line {}, column address: '{}' is not the number of "
                    "service rows, {}",
                    End.Number, printable(End.Cells[AddressColumn]),
                    Lines.size()));
  }
  if (Lines.empty()) {
    return cellError(End, AddressColumn, "rows: a table needs a service");
  }
  return Epoch;
}

} // namespace

Result<PublishedTable> parsePublishedTable(std::string_view Csv) {
  if (Csv.size() > MaxTableBytes) {
    return makeError(
        ErrorKind::InvalidTable,
        fmt::format("{} bytes is more than {}", Csv.size(), MaxTableBytes));
  }
  if (!Csv.ends_with('\n')) {
    return makeError(ErrorKind::IncompleteTable,
                     fmt::format("line {}: the last line has no newline",
                                 std::count(Csv.begin(), Csv.end(), '\n') + 1));
  }
  const auto Lines = readCells(Csv);
  if (!Lines) {
    return tl::unexpected<Error>(Lines.error());
  }
  std::span<const CellLine> Data(*Lines);
  const auto Epoch = removeEpochAndEndRows(Data);
  if (!Epoch) {
    return tl::unexpected<Error>(Epoch.error());
  }
  const auto Checked = checkRows(Data);
  if (!Checked) {
    return tl::unexpected<Error>(Checked.error());
  }
  if (auto Problem = checkConsistency(*Checked)) {
    return tl::unexpected<Error>(std::move(*Problem));
  }
  PublishedTable Published;
  Published.Epoch = *Epoch;
  Published.Rows.reserve(Checked->size());
  for (const CheckedRow &Row : *Checked) {
    Published.Rows.push_back(formatRow(Row));
  }
  std::sort(Published.Rows.begin(), Published.Rows.end());
  return Published;
}

} // namespace mulberryhoist
