//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case images: each build of a program that fills has an image of its own, so that the tasks name more and more of them.
const (
	imagesRunners = 16
	imagesDaemons = 4
	imagesMemory  = 284 // memory_mb
	imagesServing = 5   // images of the jobs that serve
	imagesSteps   = 3   // of a job that fills, each with an image of its own
	imagesTime    = 92 * time.Second
	imagesFinish  = 8 * time.Second
	// imagesPause is the time between two jobs: 6.61 a second.
	imagesPause = time.Second * 100 / 661
	// In a burst more jobs come, for imagesBurst of each imagesCycle.
	imagesBurstFactor = 2.6
	imagesBurst       = 4 * time.Second
	imagesCycle       = 5 * time.Second
	// restartDelay is after what time the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// The rule counts ends of processes on so many machines.
	faultEnds     = 3
	faultMachines = 2
)

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

func playImages(folder string) {
	w := newWorld(folder, imagesRunners, imagesDaemons)
	b := newBook()
	w.fleet.sizeOf = func(task string) (int64, int64) {
		s := b.stepOf(task)
		if s.Fills {
			return 0, s.Memory
		}
		return s.CPU, s.Memory
	}
	w.fleet.workOf = func(task string, _ uint64) (time.Duration, string) {
		if s := b.stepOf(task); !s.Lasts {
			return time.Duration(s.Estimate) * time.Millisecond, "done"
		}
		return time.Hour, "stopped"
	}
	w.run()
	for n := range imagesServing {
		w.submit(b, step{Count: 3, CPU: 3200, Memory: 6400, Estimate: 500, Lasts: true, Image: "serving-" + strconv.Itoa(n), Target: 50})
	}
	time.Sleep(3 * time.Second)
	var ends atomic.Int64
	var machines sync.Map
	stop := make(chan struct{})
	most := map[string]int{}
	var watching sync.WaitGroup
	watching.Go(func() { // the platform ends a process that is over its memory
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			for _, d := range w.daemons {
				used := memoryOf(d.cmd.Process.Pid)
				if used > most[d.name] {
					most[d.name] = used
				}
				if used > imagesMemory {
					w.record.add("process is over its memory and ends", "machine", d.name, "mb", used, "limit", imagesMemory)
					ends.Add(1)
					machines.Store(d.name, true)
					d.kill()
					time.Sleep(restartDelay)
					d.start()
				}
			}
		}
	})
	n := 0
	var group sync.WaitGroup
	for began := time.Now(); time.Since(began) < imagesTime; {
		steps := make([]step, imagesSteps)
		for i := range steps {
			image := fmt.Sprintf("build-%d-%d", n, i)
			steps[i] = step{Count: 1, CPU: 500, Memory: 300, Estimate: 300, Fills: true, Image: image}
		}
		n++
		group.Go(func() { w.submit(b, steps...) })
		pause := imagesPause
		if w.trouble && time.Since(began)%imagesCycle < imagesBurst {
			pause = time.Duration(float64(pause) / imagesBurstFactor)
		}
		time.Sleep(pause)
	}
	group.Wait()
	time.Sleep(imagesFinish)
	close(stop)
	watching.Wait()
	states := map[string]int{}
	for _, j := range b.jobs {
		status, state := w.state(j)
		states[fmt.Sprint(status, " ", state)]++
	}
	count := 0
	machines.Range(func(any, any) bool { count++; return true })
	fmt.Printf("%d jobs with %d images; most memory in MB: %v; processes that ended over their memory: %d, on %d machines; states: %v\n",
		n, n*imagesSteps, most, ends.Load(), count, states)
	if ends.Load() >= faultEnds && count >= faultMachines {
		fmt.Println("Fault: processes end over their memory")
		w.end(exitBroken)
	}
	w.end(exitHeld)
}
