# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_wtd_global_optspecs
    string join \n settings= h/help V/version
end

function __fish_wtd_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_wtd_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_wtd_using_subcommand
    set -l cmd (__fish_wtd_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c wtd -n "__fish_wtd_needs_command" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_needs_command" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_needs_command" -s V -l version -d 'Print version'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "check" -d 'Checks a folder of templates, or the settings of a program'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "publish" -d 'Publishes what differs between a folder and the configuration in force'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "amend" -d 'Publishes single files, removes templates, or raises weights'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "templates" -d 'Shows the templates in force, or one with its texts'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "status" -d 'Shows what each keeper sees, and endpoints and hosts as the first one sees them'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "explain" -d 'Says in sentences what happened to a request, why, and whether it ran'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "timeline" -d 'Shows the events of all processes, causes before effects'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "unresolved" -d 'Shows orders of which it is not known whether they ran, or settles one'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "rollout" -d 'Shows which weights the endpoints serve, or rolls newer ones out'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "completions" -d 'Prints a completion script for a shell'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "man" -d 'Prints the man page of the tool, or writes those of all verbs'
complete -c wtd -n "__fish_wtd_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c wtd -n "__fish_wtd_using_subcommand check" -l program -d 'Check the settings file as this program\'s' -r -f -a "entry\t''
keeper\t''
operator\t''"
complete -c wtd -n "__fish_wtd_using_subcommand check" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand check" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand check" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand publish" -l note -d 'Why, for the record' -r
complete -c wtd -n "__fish_wtd_using_subcommand publish" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand publish" -l remove-absent -d 'Remove templates in force that the folder does not have'
complete -c wtd -n "__fish_wtd_using_subcommand publish" -l dry-run -d 'Only show what would be sent'
complete -c wtd -n "__fish_wtd_using_subcommand publish" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand amend" -l remove -d 'Remove a template' -r
complete -c wtd -n "__fish_wtd_using_subcommand amend" -l raise -d 'Raise the weights version of a pool' -r
complete -c wtd -n "__fish_wtd_using_subcommand amend" -l note -d 'Why, for the record' -r
complete -c wtd -n "__fish_wtd_using_subcommand amend" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand amend" -l dry-run -d 'Only show what would be sent'
complete -c wtd -n "__fish_wtd_using_subcommand amend" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand templates" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand templates" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand templates" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand status" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand status" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand status" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand explain" -l logs -d 'Read collected JSON logs instead of asking the processes' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand explain" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand explain" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand explain" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l request -d 'Only events of this request' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l account -d 'Only events of this client account' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l endpoint -d 'Only events of this endpoint' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l host -d 'Only events of this host' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l from -d 'Only events from this time on, in ms since the Unix epoch' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l to -d 'Only events up to this time, in ms since the Unix epoch' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l newest -d 'Newest events to ask of each process' -r
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l logs -d 'Read collected JSON logs instead of asking the processes' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l html -d 'Write one HTML page, with a lane for each process' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand timeline" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -l settle -d 'Settle the order with this key' -r
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -l account -d 'Client account of the order, where a key comes twice' -r
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -l as -d 'What is found to be so' -r -f -a "ran\t''
not_run\t''"
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -l note -d 'On what grounds' -r
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand unresolved" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand rollout" -l to -d 'Bring this weights version into service, replica by replica' -r
complete -c wtd -n "__fish_wtd_using_subcommand rollout" -l note -d 'Why, for the record' -r
complete -c wtd -n "__fish_wtd_using_subcommand rollout" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand rollout" -l json -d 'Print JSON instead of text'
complete -c wtd -n "__fish_wtd_using_subcommand rollout" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand completions" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand completions" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand man" -l folder -d 'Write the pages of all verbs into this folder' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand man" -l settings -d 'INI file with the settings of this tool' -r -F
complete -c wtd -n "__fish_wtd_using_subcommand man" -s h -l help -d 'Print help'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "check" -d 'Checks a folder of templates, or the settings of a program'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "publish" -d 'Publishes what differs between a folder and the configuration in force'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "amend" -d 'Publishes single files, removes templates, or raises weights'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "templates" -d 'Shows the templates in force, or one with its texts'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "status" -d 'Shows what each keeper sees, and endpoints and hosts as the first one sees them'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "explain" -d 'Says in sentences what happened to a request, why, and whether it ran'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "timeline" -d 'Shows the events of all processes, causes before effects'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "unresolved" -d 'Shows orders of which it is not known whether they ran, or settles one'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "rollout" -d 'Shows which weights the endpoints serve, or rolls newer ones out'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "completions" -d 'Prints a completion script for a shell'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "man" -d 'Prints the man page of the tool, or writes those of all verbs'
complete -c wtd -n "__fish_wtd_using_subcommand help; and not __fish_seen_subcommand_from check publish amend templates status explain timeline unresolved rollout completions man help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
