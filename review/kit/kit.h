/* kit.h - what the scripts of the review share: the site, routers as separate
   processes, and callers on blocking sockets.

   All functions end the process with EXIT_NOT_RUN if the machine denies them
   something.  */

#ifndef KIT_H
#define KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum
{
  EXIT_HELD = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2
};

/**
 * struct router - one mimosa-routerd
 * @pid: 0 if it does not run
 */
struct router
{
  char name[16];
  char settings[128];
  uint16_t http;
  uint16_t ready;
  uint16_t peer;
  pid_t pid;
};

/**
 * struct connection - a caller's connection
 * @text: bytes received that no answer was made of yet
 */
struct connection
{
  int fd;
  char text[65536];
  size_t len;
};

/* Ways in which a request ends.  */
enum ending
{
  ENDED_WHOLE,     /* a whole answer */
  ENDED_CUT,       /* the connection ended within the answer */
  ENDED_NO_ANSWER, /* the connection ended before it */
  ENDED_TIMEOUT    /* nothing for so long */
};

/**
 * struct answer - what a caller got
 * @events: events of a stream
 * @text: the answer as far as it came, cut where it is long
 */
struct answer
{
  enum ending ending;
  int status;
  int events;
  bool stamped;
  char text[8192];
};

/* Whether the disruption is to take place, as run.sh says by TROUBLE.  Set
   before kit_start_site, which notes it in the record.  */
void kit_set_trouble (bool on);
bool kit_trouble (void);
/* Milliseconds of a steady clock.  */
uint64_t kit_now_ms (void);
void kit_sleep_ms (uint32_t ms);
/* Appends a line to the record.  */
void kit_note (const char *format, ...);
/* Starts the site with its record at PATH; see site.c.  */
void kit_start_site (const char *path, int llm, int app, int tokens,
                     int events);
/* Sends a command to the site.  */
void kit_command (const char *format, ...);
/* Starts ROUTER, first with new ports and settings; further starts keep
   them.  SEED: another router, or itself.  */
void kit_start_router (struct router *router, const char *name,
                       const struct router *seed);
void kit_signal_router (struct router *router, int number);
/* Waits until ROUTER is ready.  */
void kit_wait_ready (const struct router *router);
/* Whether ROUTER has ended by itself; notes how.  */
bool kit_has_ended (struct router *router);
/* Ends all processes that were started, and exits.  */
void kit_exit (int status);

struct connection *kit_connect (const struct router *router);
void kit_close (struct connection *connection);
/* Sends bytes; a closed connection is found out when the answer is read.  */
void kit_send (struct connection *connection, const char *text);
/* Formats a request.  FIELDS: further header lines.  */
char *kit_request (const char *method, const char *target, const char *id,
                   const char *fields, const char *body);
struct answer kit_read_answer (struct connection *connection, const char *id,
                               uint32_t wait_ms);

#endif
