complete -c figdeal-agent -l settings -d 'File with the settings of the process' -r -F
complete -c figdeal-agent -l queue -d 'Serves the durable queue beside a worker of the platform, with the platform\'s settings'
complete -c figdeal-agent -s h -l help -d 'Print help'
complete -c figdeal-agent -s V -l version -d 'Print version'
