package httpd

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// This file has the writes to connections and their deadlines, which nobody else sets.

// minWriteBytes have to be written within the idle timeout, as in package conns. It is a
// quarter of the smallest usual socket buffer, so a client that reads at all reaches it.
const minWriteBytes = 16 << 10

// write writes c.vector, in one system call if the kernel takes it. A client that takes
// less than minWriteBytes in the idle timeout is given up. The handler of x, if not nil, may give up the
// response meanwhile.
func (c *conn) write(x *response) error {
	if len(c.vector) == 0 {
		return nil
	}
	idle := c.server.limits().IdleTimeout
	began := time.Now()
	// A deadline holds for later writes as well, up to a quarter longer, because setting it
	// for each write costs more.
	if !c.extendWrite(x, idle, idle/4) {
		return os.ErrDeadlineExceeded
	}
	defer clear(c.vector) // they may be long
	c.unwritten = c.vector
	taken := int64(0) // since the idle timeout began
	for {
		n, err := c.writeOnce()
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		taken += n
		if taken < minWriteBytes && !c.isGivenUp(x) {
			taken += c.writeAtOnce()
			if len(c.unwritten) == 0 {
				return nil
			}
		}
		former := idle
		idle = c.server.limits().IdleTimeout
		extension := idle
		switch {
		case taken >= minWriteBytes:
			taken = 0
		case idle > former:
			extension = idle - former // it has become longer meanwhile
		case !c.isGivenUp(x):
			c.server.count("ResponsesNotRead")
			c.server.config.Logger.Info("client reads its response too slowly; connection closed", "Client", c.remoteAddr, "Waited", time.Since(began), "IdleTimeout", former)
			return err
		}
		if !c.extendWrite(x, extension, 0) {
			return err
		}
	}
}

// extendWrite makes the write deadline at least idle from now, and slack later if it has to be
// set. It is set as well if it is later than that, since the idle timeout may have become shorter.
// It returns false if the response has been given up.
func (c *conn) extendWrite(x *response, idle, slack time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x != nil && x.givenUp {
		return false
	}
	if until := time.Now().Add(idle); c.writeUntil.Before(until) || c.writeUntil.After(until.Add(slack)) {
		c.setWriteUntil(until.Add(slack))
	}
	return true
}

// writeOnce writes from c.unwritten until an error.
func (c *conn) writeOnce() (n int64, err error) {
	if len(c.unwritten) > 1 {
		return c.unwritten.WriteTo(c.net)
	}
	written, err := c.net.Write(c.unwritten[0])
	c.unwritten[0] = c.unwritten[0][written:]
	return int64(written), err
}

// writeAtOnce writes from c.unwritten what the kernel takes without waiting, also if the write deadline has passed.
// That is more than the writes before found out if the process was stopped meanwhile, and since the
// kernel wakes a writer only when a third of the socket's buffer is free, which may be a MiB.
func (c *conn) writeAtOnce() (n int64) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) {
		for len(c.unwritten) > 0 {
			written, err := unix.Write(int(fd), c.unwritten[0])
			if err == unix.EINTR {
				continue
			}
			if err != nil {
				return
			}
			n += int64(written)
			if c.unwritten[0] = c.unwritten[0][written:]; len(c.unwritten[0]) == 0 {
				c.unwritten = c.unwritten[1:]
			}
		}
	})
	return n
}

// isGivenUp reports whether the handler of x has given up its response.
func (c *conn) isGivenUp(x *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return x != nil && x.givenUp
}

// setWriteUntil sets the write deadline. The caller holds c.mu.
func (c *conn) setWriteUntil(t time.Time) {
	c.writeUntil = t
	c.net.SetWriteDeadline(t)
}
