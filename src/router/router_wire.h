/* router_wire.h - protocol-independent view of requests, responses and the
   platform's rows.

   Implemented by the folder platform/, the only one that knows the names on
   the wire.
   Needs: http_message.h, route.h, fleet.h, text.h.  */

#ifndef MQ_ROUTER_WIRE_H
#define MQ_ROUTER_WIRE_H

#include "core/router/fleet.h"
#include "core/router/route.h"
#include "core/store.h"
#include "net/http_message.h"

/**
 * struct mq_request_fields - header fields of a caller's request
 * @id: id of this attempt of the caller; NULL if none
 * @host: target host as sent by the caller; NULL if none
 * @program: agent program of the request; NULL if none
 * @affinity: affinity key; NULL if none
 * @line: branch of the program that a turn belongs to; NULL if none
 * @prompt: parts of a turn's prompt; NULL if not told
 * @previous: turn that this one continues; NULL if none
 * @last_event: last event the caller received; NULL if none
 * @resumes: id of the attempt that brought the first event of the stream that
 *           the caller resumes; NULL if none
 * @deadline_ms: time the caller waits; 0 if not given
 * @has_budget: @budget was given
 * @budget: token limit of all turns of the program
 * @tokens_out: token limit of the turn; 0 if not given
 * @main_line: the turn belongs to the program itself and not to a sub-program
 * @has_left: @left_ms was given
 * @left_ms: time until the program should be finished
 * @key: key of the caller's organisation; NULL if none.  A secret that must
 * not appear in logs, responses or metrics
 * @key_count: number of keys sent
 *
 * Strings live as long as the message head.
 */
struct mq_request_fields
{
  const char *id;
  const char *host;
  const char *program;
  const char *affinity;
  const char *line;
  const char *prompt;
  const char *previous;
  const char *last_event;
  const char *resumes;
  uint32_t deadline_ms;
  bool has_budget;
  uint64_t budget;
  uint32_t tokens_out;
  bool main_line;
  bool has_left;
  uint32_t left_ms;
  const char *key;
  size_t key_count;
};

/**
 * struct mq_response_fields - header fields of a worker's response
 * @id: request that it belongs to; NULL if not given
 * @worker: id of the worker; NULL if not given
 * @not_run: the worker states that it did not run the request
 * @other_worker: the address now belongs to another worker or version
 * @has_load: @running and @waiting were given
 * @running: requests running at the worker
 * @waiting: requests queued at the worker
 * @load_invalid: the load was given but is not valid, and is ignored
 * @speed: time that work takes at the worker, in percent of the usual; 0 if
 *         not given
 * @idle_s: idle timeout of the connection, seconds; 0 if not given
 */
struct mq_response_fields
{
  const char *id;
  const char *worker;
  bool not_run;
  bool other_worker;
  bool has_load;
  bool load_invalid;
  uint32_t running;
  uint32_t waiting;
  uint32_t speed;
  uint32_t idle_s;
};

/**
 * struct mq_forward_fields - header fields set in a request to a worker
 * @deadline_ms: time remaining until the final response
 * @worker: id of the intended worker
 * @last_event: event after which the stream resumes; NULL if none
 * @priority: 0 (most urgent) to 9
 * @organisation: organisation of the request; NULL if none
 */
struct mq_forward_fields
{
  uint32_t deadline_ms;
  const char *worker;
  const char *last_event;
  uint32_t priority;
  const char *organisation;
};

void mq_wire_read_request_fields (const struct mq_http_head *head,
                                  struct mq_request_fields *fields);
void mq_wire_read_response_fields (const struct mq_http_head *head,
                                   struct mq_response_fields *fields);
/* Whether the field is reserved for the system; values sent by callers are
   dropped.  */
bool mq_wire_is_reserved_field (const char *name);
/* Formats FIELDS as header lines, allocated on CTX.  */
char *mq_wire_format_fields (TALLOC_CTX *ctx,
                             const struct mq_forward_fields *fields);

/* Formats the head of a health check at PATH of WORKER, with its empty line,
   allocated on CTX.  */
char *mq_wire_format_health_check (TALLOC_CTX *ctx, const char *path,
                                   const struct mq_fleet_member *worker);

/* Tables of the configuration and of the workers, and the key of the
   configuration.  */
extern const char mq_wire_config_table[];
extern const char mq_wire_config_key[];
extern const char mq_wire_worker_table[];

/* Incremental parser of a configuration.  */
struct mq_config_reader;

enum mq_config_progress
{
  MQ_CONFIG_MORE,     /* more to parse */
  MQ_CONFIG_COMPLETE, /* complete and valid */
  MQ_CONFIG_INVALID   /* invalid; parsing has ended */
};

/* Starts parsing VALUE, which is copied.  Returns NULL if memory is
   exhausted.  */
struct mq_config_reader *mq_wire_config_begin (TALLOC_CTX *ctx,
                                               struct mq_bytes value);
/* Parses about BYTES bytes, at least one step.  Sets ERROR if the
   configuration is invalid.  */
enum mq_config_progress
mq_wire_config_parse_some (struct mq_config_reader *reader, size_t bytes,
                           struct mq_error *error);
/* Version; 0 if not parsed yet.  */
uint64_t mq_wire_config_version (const struct mq_config_reader *reader);
/* Number of bytes parsed.  */
size_t mq_wire_config_parsed_bytes (const struct mq_config_reader *reader);
struct mq_bytes mq_wire_config_text (const struct mq_config_reader *reader);
/* Moves the table of a complete reader to CTX.  May be called once.  */
struct mq_route_table *
mq_wire_config_take_table (TALLOC_CTX *ctx, struct mq_config_reader *reader);
/* Parses a configuration in one go, allocated on CTX.  Returns NULL with ERROR
   set if it is invalid.  */
struct mq_route_table *mq_wire_read_config (TALLOC_CTX *ctx,
                                            struct mq_bytes value,
                                            struct mq_error *error);
/* Parses the row of a worker, with strings allocated on CTX.  Returns false
   with ERROR set if it is invalid.  */
bool mq_wire_read_worker (TALLOC_CTX *ctx, const char *key,
                          struct mq_bytes value,
                          struct mq_fleet_member *member,
                          struct mq_error *error);

#endif
