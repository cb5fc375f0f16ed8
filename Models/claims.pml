/* Idempotency keys: daemons claim one key in the log and run it at most once.
 *
 * Each daemon appends a claim under an id of its own. An append may be lost, take effect with its answer lost (it is then sent
 * again under the same id), or take effect late. A daemon runs the key only when reading its own claim back as the first that
 * holds the key. A holder that has not run may release. A daemon may die at any step; its successor knows only the log.
 *
 * BROKEN_RELEASE lets a holder run on after it has appended its release.
 * BROKEN_READ lets a daemon run as soon as its append is answered, without reading it back.
 */

#define DAEMONS 2
#define LIVES 2       /* incarnations of each daemon */
#define LOG_SIZE 16

#define CLAIM 1
#define RELEASE 2

byte kind[LOG_SIZE];
byte owner[LOG_SIZE];  /* id of the claim, unique to daemon and life, from 1 */
byte end = 0;
byte runs = 0;

inline append(what, who)
{
    d_step {
        assert(end < LOG_SIZE);
        kind[end] = what;
        owner[end] = who;
        end++
    }
}

/* Reads the log from the front and leaves the id that holds the key, or 0. */
inline readHolder(holder, position)
{
    d_step {
        holder = 0;
        position = 0;
        do
        :: position < end ->
            if
            :: kind[position] == CLAIM && holder == 0 -> holder = owner[position]
            :: kind[position] == RELEASE && holder == owner[position] -> holder = 0
            :: else -> skip
            fi;
            position++
        :: else -> break
        od;
        position = 0
    }
}

proctype Daemon(byte number)
{
    byte life = 0;
    byte id;
    byte holder;
    byte position;
    byte sends;

start:
    if
    :: life < LIVES -> life++; id = number * LIVES + life; sends = 0
    :: else -> goto done
    fi;

    readHolder(holder, position);
    if
    :: holder != 0 -> goto start    /* held: refused, and a later life asks again */
    :: else -> skip
    fi;

send:
    sends++;
    if
    :: true -> append(CLAIM, id)    /* took effect; the answer may be lost */
    :: true                         /* lost on the way */
    fi;
#ifdef BROKEN_READ
    goto execute;
#endif
    if
    :: sends < 2 -> goto send       /* no answer: sent again under the same id */
    :: true -> goto start                   /* the daemon dies */
    :: skip
    fi;
    readHolder(holder, position);
    if
    :: holder == id -> skip
    :: else -> goto start           /* another holds the key, or the claim never arrived */
    fi;
    if
    :: true                         /* goes on to run */
    :: true -> goto start                   /* dies as the holder */
    :: true -> append(RELEASE, id); goto released
    fi;

execute:
    runs++;
    assert(runs <= 1);
    goto start;

released:
#ifdef BROKEN_RELEASE
    goto execute;
#endif
    goto start;

done:
    skip
}

init
{
    atomic {
        run Daemon(0);
        run Daemon(1)
    }
}
