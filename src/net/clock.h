/* clock.h - clocks and random numbers.

   Needs: the C library.  */

#ifndef MQ_CLOCK_H
#define MQ_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/* Monotonic clock, without time in which the host is suspended.  */
uint64_t mq_clock_us (void);
uint64_t mq_clock_ms (void);
/* Monotonic clock including suspended time; for leases.  */
uint64_t mq_clock_boot_ms (void);
/* Time of day, milliseconds since 1970; for logs only.  */
uint64_t mq_clock_wall_ms (void);
/* Has the monotonic clocks follow SOURCE, which returns microseconds, instead
   of the machine's clock.  Timers then run in mq_timer_run_due alone, and
   connections have no timeouts of the kernel.  For tests, before anything else
   reads a clock.  */
typedef uint64_t mq_clock_source (void);
void mq_clock_set_source (mq_clock_source *source);
/* Whether the clocks follow a source.  */
bool mq_clock_is_injected (void);
/* Random number other than 0, which means "any" in boot ids.  */
uint64_t mq_clock_random (void);

#endif
