/* Idempotency keys: daemons claim a key in the replicated log so that its request is executed at most once.
 *
 * Each daemon appends a claim with a unique id. An append may be lost, may take effect with its response lost (it is then resent
 * with the same id), or may take effect late. A daemon executes the request only after reading back its own claim as the first
 * one that holds the key. A holder that has not executed the request may release the key. A daemon may crash at any step; its
 * next incarnation knows only the log.
 *
 * BROKEN_RELEASE: a holder executes the request after it has appended its release.
 * BROKEN_READ: a daemon executes the request as soon as its append is acknowledged, without reading it back.
 */

#define DAEMONS 2
#define INCARNATIONS 2  /* per daemon */
#define LOG_SIZE 16

#define CLAIM 1
#define RELEASE 2

byte kind[LOG_SIZE];
byte owner[LOG_SIZE];  /* claim id, unique per daemon and incarnation, starting at 1 */
byte logEnd = 0;
byte executions = 0;

inline append(entryKind, claimId)
{
    d_step {
        assert(logEnd < LOG_SIZE);
        kind[logEnd] = entryKind;
        owner[logEnd] = claimId;
        logEnd++
    }
}

/* Replays the log and sets holder to the claim id that holds the key, or to 0. */
inline readHolder(holder, position)
{
    d_step {
        holder = 0;
        position = 0;
        do
        :: position < logEnd ->
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
    byte incarnation = 0;
    byte id;
    byte holder;
    byte position;
    byte sendCount;

start:
    if
    :: incarnation < INCARNATIONS -> incarnation++; id = number * INCARNATIONS + incarnation; sendCount = 0
    :: else -> goto done
    fi;

    readHolder(holder, position);
    if
    :: holder != 0 -> goto start    /* key held: refused, a later incarnation retries */
    :: else -> skip
    fi;

send:
    sendCount++;
    if
    :: true -> append(CLAIM, id)    /* takes effect; the response may be lost */
    :: true                         /* append lost */
    fi;
#ifdef BROKEN_READ
    goto execute;
#endif
    if
    :: sendCount < 2 -> goto send       /* no response: resent with the same id */
    :: true -> goto start                   /* the daemon crashes */
    :: skip
    fi;
    readHolder(holder, position);
    if
    :: holder == id -> skip
    :: else -> goto start           /* another claim holds the key, or this one was lost */
    fi;
    if
    :: true                         /* continues to execution */
    :: true -> goto start                   /* crashes while holding the key */
    :: true -> append(RELEASE, id); goto released
    fi;

execute:
    executions++;
    assert(executions <= 1);
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
