//! `docs/RESULTS.md` lists the result codes as defined in the source.

use burdocklever::Code;

#[test]
fn results_page_lists_every_code() {
    let page = include_str!("../../docs/RESULTS.md");
    let rows: Vec<&str> = page.lines().filter(|l| l.starts_with("| BL")).collect();
    let listed: Vec<(&str, &str)> = rows
        .iter()
        .map(|row| {
            let mut cells = row.split('|').map(str::trim);
            cells.next();
            (cells.next().unwrap(), cells.next().unwrap())
        })
        .collect();
    let codes: Vec<String> = Code::ALL.iter().map(ToString::to_string).collect();
    let known: Vec<(&str, &str)> = codes
        .iter()
        .zip(Code::ALL)
        .map(|(number, code)| (number.as_str(), code.text()))
        .collect();
    assert_eq!(listed, known);
}

#[test]
fn codes_parse_as_displayed() {
    for code in Code::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
    }
}
