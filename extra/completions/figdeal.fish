# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_figdeal_global_optspecs
    string join \n h/help V/version
end

function __fish_figdeal_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_figdeal_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_figdeal_using_subcommand
    set -l cmd (__fish_figdeal_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c figdeal -n "__fish_figdeal_needs_command" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_needs_command" -s V -l version -d 'Print version'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "demo" -d 'Runs an entry, agents and stand-in upstreams in one process and submits jobs of both sample deployments'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "entry" -d 'Runs an entry process until SIGTERM'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "queue" -d 'Runs a node of the durable queue with the platform\'s settings until SIGTERM'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "queue-check" -d 'Checks a configuration of the durable queue before it is sent to a node'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "stand-in" -d 'Runs a stand-in upstream for an agent, for tests'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "bench" -d 'Runs entries, agents and upstreams over loopback and compares the measurements with the design targets'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "load" -d 'Generates load: submits jobs to running entries and counts the answers'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "control" -d 'Initialises, shows and replaces control replicas'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "config" -d 'Proposes, signs and shows changes of the configuration'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "check" -d 'Checks a configuration without a running process'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "keys" -d 'Creates and shows the keys of the co-owners'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "status" -d 'Shows upstreams, slots, queues and configuration versions as the entries see them'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "report" -d 'Shows how fast the error budgets of the service-level objectives burn, summed over the entries'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "submit" -d 'Submits a job and prints its progress and its answer'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "fetch" -d 'Fetches the answer of a job'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "cancel" -d 'Cancels a job'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "drain" -d 'Drains one entry: it finishes the jobs in progress and exits'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "completions" -d 'Prints the completion script for a shell'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "man" -d 'Writes the man pages to a folder'
complete -c figdeal -n "__fish_figdeal_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand demo" -l agents -d 'Number of agents with one stand-in upstream each' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand demo" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand entry" -l settings -d 'Settings file of the process' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand entry" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand queue" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand queue-check" -l node -d 'Control address of a node; also reports what differs from the configuration in force' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand queue-check" -l json -d 'Prints JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand queue-check" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand stand-in" -l listen -d 'Address on which it accepts requests' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand stand-in" -l agent -d 'HTTP address of its agent' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand stand-in" -l slots -d 'Number of tasks that it runs at the same time' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand stand-in" -l journal -d 'File to which each start of a task is appended' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand stand-in" -l fail -d 'Fail every task at once'
complete -c figdeal -n "__fish_figdeal_using_subcommand stand-in" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l seed -d 'Seed of the job arrivals' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l entries -d 'Number of entries' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l upstreams -d 'Number of upstreams' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l slots -d 'Slots of each upstream' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l load -d 'Offered load as a fraction of the capacity' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l seconds -d 'Length in seconds of the measurement window of each run under load' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l only -d 'Run only this measurement' -r -f -a "response\t'Response times, and messages under load and when idle'
flood\t'Effect of a flood of one kind on the other kinds'
throughput\t'Tasks per second and CPU time per task'
memory\t'Memory use with queued tasks'"
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l declared -d 'Run times that callers declare' -r -f -a "none\t'No run time'
rough\t'The true run time times a factor that is log-uniformly distributed between 0.5 and 2'
exact\t'The true run time'"
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l json -d 'Print JSON, one object per line'
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -l quick -d 'Use shorter measurement windows; less than a minute in total'
complete -c figdeal -n "__fish_figdeal_using_subcommand bench" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l entry -d 'HTTP address of an entry; if repeated, each job goes to a random one' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l kind -d 'Kind and its relative share of the jobs, such as `quote-check=3`; may be repeated' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l team -d 'Team that submits' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l rate -d 'Jobs per second; the arrivals are a Poisson process' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l size -d 'Number of tasks of a job, log-uniformly distributed' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l run-ms -d 'Run times in milliseconds, log-uniformly distributed; a stand-in upstream reads them from the payload' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l deadline-ms -d 'Deadline of the tasks in milliseconds; defaults to the deadline of the kind' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l seconds -d 'Time in seconds during which jobs are submitted; outstanding answers are awaited after that' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l seed -d 'Seed of arrivals, kinds, sizes and run times' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l open -d 'Maximum number of unanswered jobs; jobs beyond it are skipped and counted' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -l json -d 'Print the summary as JSON, one object per line'
complete -c figdeal -n "__fish_figdeal_using_subcommand load" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and not __fish_seen_subcommand_from id init status replace help" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and not __fish_seen_subcommand_from id init status replace help" -f -a "id" -d 'Prints the id and address of the replica in the data folder; creates a replica in an empty folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and not __fish_seen_subcommand_from id init status replace help" -f -a "init" -d 'Initialises a founding replica; run it once on each founding VM, with the same owners and members'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and not __fish_seen_subcommand_from id init status replace help" -f -a "status" -d 'Shows the members and the active configuration number, read through a quorum'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and not __fish_seen_subcommand_from id init status replace help" -f -a "replace" -d 'Replaces a lost member'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and not __fish_seen_subcommand_from id init status replace help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from id" -l settings -d 'Settings of the process' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from id" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from init" -l settings -d 'Settings of the process' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from init" -l owner -d 'Public keys of the two co-owners' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from init" -l member -d 'All founding members as ID@IP:PORT' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from init" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from status" -l control -d 'Addresses of control replicas' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from status" -l json -d 'Print JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from status" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from replace" -l control -d 'Addresses of control replicas' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from replace" -l key -d 'Private key of a co-owner' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from replace" -l old -d 'Id of the lost member' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from replace" -l new -d 'The new member as ID@IP:PORT' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from replace" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from help" -f -a "id" -d 'Prints the id and address of the replica in the data folder; creates a replica in an empty folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from help" -f -a "init" -d 'Initialises a founding replica; run it once on each founding VM, with the same owners and members'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from help" -f -a "status" -d 'Shows the members and the active configuration number, read through a quorum'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from help" -f -a "replace" -d 'Replaces a lost member'
complete -c figdeal -n "__fish_figdeal_using_subcommand control; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -l control -d 'Addresses of control replicas' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -l json -d 'Print JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "propose" -d 'Proposes the configuration in a folder and signs the proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "sign" -d 'Signs the pending proposal; the second signature accepts it'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "reject" -d 'Rejects the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "show" -d 'Shows the active configuration, or the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "history" -d 'Lists the accepted changes'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "diff" -d 'Compares the active configuration with the pending proposal or with a folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and not __fish_seen_subcommand_from propose sign reject show history diff help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from propose" -l key -d 'Private key of the proposing co-owner' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from propose" -l number -d 'Number of the change; defaults to the one after the active number' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from propose" -l new-owner -d 'Public keys that replace the keys of both owners; given twice or not at all' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from propose" -l request -d 'Request id of an earlier attempt whose answer was lost' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from propose" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from sign" -l key -d 'Private key of the signing co-owner' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from sign" -l digest -d 'Digest that the owner reviewed, or at least its first 8 digits' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from sign" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from reject" -l key -d 'Private key of the rejecting co-owner' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from reject" -l digest -d 'Digest of the proposal, or at least its first 8 digits' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from reject" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from show" -l site -d 'Show the configuration that this site gets, with the origin of each value' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from show" -l pending -d 'Show the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from history" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "propose" -d 'Proposes the configuration in a folder and signs the proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "sign" -d 'Signs the pending proposal; the second signature accepts it'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "reject" -d 'Rejects the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "show" -d 'Shows the active configuration, or the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "history" -d 'Lists the accepted changes'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Compares the active configuration with the pending proposal or with a folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand check" -l site -d 'Print the configuration that this site would get, with the origin of each value' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand check" -l json -d 'Print JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand check" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and not __fish_seen_subcommand_from new show help" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and not __fish_seen_subcommand_from new show help" -f -a "new" -d 'Create a private key in a new file and print the public key'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and not __fish_seen_subcommand_from new show help" -f -a "show" -d 'Print the public key of a private key'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and not __fish_seen_subcommand_from new show help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and __fish_seen_subcommand_from new" -l out -d 'File to create, readable by its owner only' -r -F
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and __fish_seen_subcommand_from new" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and __fish_seen_subcommand_from help" -f -a "new" -d 'Create a private key in a new file and print the public key'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and __fish_seen_subcommand_from help" -f -a "show" -d 'Print the public key of a private key'
complete -c figdeal -n "__fish_figdeal_using_subcommand keys; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand status" -l entry -d 'HTTP address of an entry; may be repeated' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand status" -l json -d 'Prints JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand status" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand report" -l entry -d 'HTTP address of an entry; may be repeated' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand report" -l json -d 'Prints JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand report" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand submit" -l entry -d 'HTTP address of an entry; may be repeated' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand submit" -l limit -d 'Maximum time in seconds to wait for the answer' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand submit" -l no-wait -d 'Exits as soon as an entry has accepted the job'
complete -c figdeal -n "__fish_figdeal_using_subcommand submit" -l json -d 'Prints the answer of the entry as JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand submit" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand fetch" -l entry -d 'HTTP address of an entry; may be repeated' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand fetch" -l wait -d 'Waits for the final answer'
complete -c figdeal -n "__fish_figdeal_using_subcommand fetch" -l json -d 'Prints the answer of the entry as JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand fetch" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand cancel" -l entry -d 'HTTP address of an entry; may be repeated' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand cancel" -l json -d 'Prints the answer of the entry as JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand cancel" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand drain" -l entry -d 'HTTP address of the entry on this machine; it accepts drain requests from loopback only' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand drain" -l limit -d 'Maximum time in seconds to wait until the entry has exited' -r
complete -c figdeal -n "__fish_figdeal_using_subcommand drain" -l no-wait -d 'Exits as soon as the entry has accepted the drain'
complete -c figdeal -n "__fish_figdeal_using_subcommand drain" -l json -d 'Prints JSON'
complete -c figdeal -n "__fish_figdeal_using_subcommand drain" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand completions" -l agent -d 'Completions of figdeal-agent instead of figdeal'
complete -c figdeal -n "__fish_figdeal_using_subcommand completions" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand man" -s h -l help -d 'Print help'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "demo" -d 'Runs an entry, agents and stand-in upstreams in one process and submits jobs of both sample deployments'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "entry" -d 'Runs an entry process until SIGTERM'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "queue" -d 'Runs a node of the durable queue with the platform\'s settings until SIGTERM'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "queue-check" -d 'Checks a configuration of the durable queue before it is sent to a node'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "stand-in" -d 'Runs a stand-in upstream for an agent, for tests'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "bench" -d 'Runs entries, agents and upstreams over loopback and compares the measurements with the design targets'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "load" -d 'Generates load: submits jobs to running entries and counts the answers'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "control" -d 'Initialises, shows and replaces control replicas'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "config" -d 'Proposes, signs and shows changes of the configuration'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "check" -d 'Checks a configuration without a running process'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "keys" -d 'Creates and shows the keys of the co-owners'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "status" -d 'Shows upstreams, slots, queues and configuration versions as the entries see them'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "report" -d 'Shows how fast the error budgets of the service-level objectives burn, summed over the entries'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "submit" -d 'Submits a job and prints its progress and its answer'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "fetch" -d 'Fetches the answer of a job'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "cancel" -d 'Cancels a job'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "drain" -d 'Drains one entry: it finishes the jobs in progress and exits'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "completions" -d 'Prints the completion script for a shell'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "man" -d 'Writes the man pages to a folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and not __fish_seen_subcommand_from demo entry queue queue-check stand-in bench load control config check keys status report submit fetch cancel drain completions man help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from control" -f -a "id" -d 'Prints the id and address of the replica in the data folder; creates a replica in an empty folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from control" -f -a "init" -d 'Initialises a founding replica; run it once on each founding VM, with the same owners and members'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from control" -f -a "status" -d 'Shows the members and the active configuration number, read through a quorum'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from control" -f -a "replace" -d 'Replaces a lost member'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "propose" -d 'Proposes the configuration in a folder and signs the proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "sign" -d 'Signs the pending proposal; the second signature accepts it'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "reject" -d 'Rejects the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "show" -d 'Shows the active configuration, or the pending proposal'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "history" -d 'Lists the accepted changes'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "diff" -d 'Compares the active configuration with the pending proposal or with a folder'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from keys" -f -a "new" -d 'Create a private key in a new file and print the public key'
complete -c figdeal -n "__fish_figdeal_using_subcommand help; and __fish_seen_subcommand_from keys" -f -a "show" -d 'Print the public key of a private key'
