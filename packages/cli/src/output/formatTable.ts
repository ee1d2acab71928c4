/** Tables of aligned columns. */

const COLUMN_GAP = '  ';
// Escape and other control characters from a resource could rewrite the operator's terminal.
const CONTROL_PATTERN = /[\u0000-\u001f\u007f-\u009f]/g; // eslint-disable-line no-control-regex

/** Text that cannot steer a terminal. */
export const toPrintable = (value: unknown): string =>
  String(value ?? '').replace(CONTROL_PATTERN, ' ');

const getWidths = (rows: readonly (readonly string[])[]): readonly number[] => {
  const columns = Math.max(...rows.map((row) => row.length));
  return Array.from({ length: columns }, (_unused, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
};

const formatRow = (row: readonly string[], widths: readonly number[]): string =>
  row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join(COLUMN_GAP)
    .trimEnd();

/** A table with a heading; a line that says so where it has no rows. */
export const formatTable = (
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
  emptyText = 'none',
): string => {
  if (rows.length === 0) {
    return `${emptyText}\n`;
  }
  const cells = [headings, ...rows.map((row) => row.map(toPrintable))];
  const widths = getWidths(cells);
  return cells.map((row) => `${formatRow(row, widths)}\n`).join('');
};
