use super::*;
use clap::CommandFactory;

#[test]
fn the_command_line_passes_the_checks_of_clap() {
    CommandLine::command().debug_assert();
}

#[test]
fn without_arguments_there_is_no_subcommand() {
    assert!(CommandLine::parse_from(["api-gateway"]).command.is_none());
}
