//! Formatting of tables as text.

/// Formats rows in left-aligned columns, two spaces apart, each as wide as its widest cell.
pub fn format(rows: &[Vec<String>]) -> String {
    let widths = column_widths(rows);
    rows.iter().map(|row| format_row(row, &widths)).collect()
}

fn column_widths(rows: &[Vec<String>]) -> Vec<usize> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    };
    (0..columns).map(width).collect()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, &width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
