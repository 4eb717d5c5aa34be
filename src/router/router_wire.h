/* router_wire.h - what the router needs to know of a request, an answer and
   the platform's rows, whatever they are called on the wire.

   The functions are those of the folder platform/, the one place that knows
   the names on the wire.
   Needs: http_message.h, route.h, fleet.h, text.h.  */

#ifndef MQ_ROUTER_WIRE_H
#define MQ_ROUTER_WIRE_H

#include "core/router/fleet.h"
#include "core/router/route.h"
#include "core/store.h"
#include "net/http_message.h"

/**
 * struct mq_request_fields - what a caller told about a request
 * @id: of this attempt of the caller; NULL: none
 * @host: whom the request is for, as the caller wrote it; NULL: none
 * @program: agent program that the request belongs to; NULL: none
 * @affinity: object that the request concerns; NULL: none
 * @previous: turn that this one continues from; NULL: none
 * @last_event: last event that the caller has; NULL: none
 * @deadline_ms: how long the caller waits, 0: not told
 * @has_budget: @budget was told
 * @budget: tokens that all turns of the program may generate
 * @tokens_out: the most that the turn generates, 0: not told
 * @main_line: the turn is of the program's own line, not of a sub-program's
 * @has_left: @left_ms was told
 * @left_ms: time until the program should be finished
 * @key: of the caller's organisation; NULL: none.  It is a secret: no log
 *       line, answer or counter holds it
 * @key_count: keys that were sent
 *
 * Strings live as long as the head that they come from.
 */
struct mq_request_fields
{
  const char *id;
  const char *host;
  const char *program;
  const char *affinity;
  const char *previous;
  const char *last_event;
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
 * struct mq_response_fields - what a worker told in an answer
 * @id: request that it belongs to; NULL: not told
 * @not_run: the worker states that it has not run the request
 * @other_worker: another worker has the address now, or another version
 * @has_load: @running and @waiting were told
 * @running: requests that run there
 * @waiting: requests that wait there
 * @idle_s: the worker closes an idle connection after so long; 0: not told
 */
struct mq_response_fields
{
  const char *id;
  bool not_run;
  bool other_worker;
  bool has_load;
  uint32_t running;
  uint32_t waiting;
  uint32_t idle_s;
};

/**
 * struct mq_forward_fields - what we tell a worker
 * @deadline_ms: time that is left
 * @worker: id of the worker that is meant
 * @last_event: event after which the stream is to go on; NULL: none
 * @priority: 0 is the most urgent, 9 the least
 * @organisation: whose request it is; NULL: nobody's
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
                                  struct mq_request_fields *facts);
void mq_wire_read_response_fields (const struct mq_http_head *head,
                                   struct mq_response_fields *facts);
/* Only the system may set the field: what a caller sent in it is dropped.  */
bool mq_wire_is_reserved_field (const char *name);
/* Lines of the fields that say FACTS, below CTX.  */
char *mq_wire_format_fields (TALLOC_CTX *ctx,
                             const struct mq_forward_fields *facts);

/* Names of the tables and of the row that hold the configuration and the
   workers.  */
extern const char mq_wire_config_table[];
extern const char mq_wire_config_key[];
extern const char mq_wire_worker_table[];

/* A configuration that is read a little at a time.  */
struct mq_config_reader;

enum mq_config_progress
{
  MQ_CONFIG_MORE,     /* something is left to read */
  MQ_CONFIG_COMPLETE, /* it is read, and good */
  MQ_CONFIG_INVALID   /* it can't be used; nothing more is read */
};

/* Begins to read VALUE, which is copied; NULL: memory is out.  */
struct mq_config_reader *mq_wire_config_begin (TALLOC_CTX *ctx,
                                               struct mq_bytes value);
/* Reads on for as long as some BYTES take, at least one step; ERROR is set
   when it can't be used.  */
enum mq_config_progress
mq_wire_config_parse_some (struct mq_config_reader *reader, size_t bytes,
                           struct mq_error *error);
/* Its version, 0: not known yet.  */
uint64_t mq_wire_config_version (const struct mq_config_reader *reader);
/* So many bytes of its text are done.  */
size_t mq_wire_config_parsed_bytes (const struct mq_config_reader *reader);
struct mq_bytes mq_wire_config_text (const struct mq_config_reader *reader);
/* The table of a reader that is whole, now below CTX; once.  */
struct mq_route_table *
mq_wire_config_take_table (TALLOC_CTX *ctx, struct mq_config_reader *reader);
/* The configuration below CTX, read in one go; NULL with ERROR set when it
   can't be used.  */
struct mq_route_table *mq_wire_read_config (TALLOC_CTX *ctx,
                                            struct mq_bytes value,
                                            struct mq_error *error);
/* One worker, strings below CTX; false with ERROR set when it can't be
   used.  */
bool mq_wire_read_worker (TALLOC_CTX *ctx, const char *key,
                          struct mq_bytes value,
                          struct mq_fleet_member *member,
                          struct mq_error *error);

#endif
