package bundle

// Example is a bundle with every field, as written by bundle init.
const Example = `# Configuration bundle. Every field that there is stands here once; fields
# marked "default" may be left out. Several *.yaml files in one directory are
# read as one bundle.

# Classes of requests, with the share of slots kept for each while it has work.
# The shares add up to 1 at most.
classes:
  - name: interactive
    reserved_share: 0.5
    default_deadline: 250ms
    max_queue: 2048 # default
  - name: standard
    reserved_share: 0.3
    default_deadline: 2s
  - name: batch
    reserved_share: 0
    default_deadline: 30s

# Programs that send requests. Each has a token, of which only the SHA-256 is
# written here, or a client certificate. The token of this one is "change-me":
#   printf %s change-me | sha256sum
callers:
  - name: screens
    token_sha256: e2186dbdb1bb4193608605e84f33208765b5693b55edd4f730a719a100eeea6f
    weight: 1 # default
  - name: booking-staff
    certificate_name: booking-staff

# Sets of backend servers that hold the same shards.
services:
  - name: booking-desk-01
    slots_per_server: 2
    connections_per_server: 25

# What may be asked, and by whom.
routes:
  - name: screen-picks
    kind: query
    index: picks
    callers: [screens]
    classes: [interactive] # the first is the default
    prefer: latency # answer before the deadline with what is there
    least_coverage: 0.8
    max_deadline: 1s # default 30s
  - name: slots
    kind: query
    index: slots
    callers: [booking-staff]
    classes: [standard, batch]
    prefer: coverage # spend the caller's time on the last shards
    least_coverage: 1
  - name: book-slot
    kind: booking # runs at most once
    index: slots
    callers: [booking-staff]
    classes: [interactive]
    prefer: coverage
    least_coverage: 1

# Limits of the decisions under load. All have defaults.
policy:
  hedge_budget: 0.02
  hedge_quantile: 0.95
  retry_budget: 0.1
  quarantine_servers: 2
  quarantine_for: 10m
  advice_for: 10s

# Overrides of the quarantine of requests that crash backend servers, as:
#   - fingerprint: 5f3a9c0e77d21b46
#     refuse: false # true keeps it refused, false lets it through
#     reason: innocent, see the incident notes
quarantine: []
`
