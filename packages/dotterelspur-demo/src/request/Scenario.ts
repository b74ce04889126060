import { ASSIGNMENT_PREFIX, DEFAULT_EVIDENCE_TTL_MS, sleep } from 'dotterelspur'
import type { AssignedGroup, AssignmentObject } from 'dotterelspur'
import { ExitCode } from 'dotterelspur-ctl'
import { SystemClock } from 'dotterelspur-clock'
import { RunEnd, VmFaultKind } from 'dotterelspur-testkit'
import type { LedgerRow } from 'dotterelspur-testkit'
import type { Cluster } from '../process/Cluster.js'
import type { CommandReport } from '../process/Operator.js'
import { Caller } from './Caller.js'
import type { ServiceAnswer } from './Caller.js'
import type { Narrator } from './Narrator.js'
import { checkAnswers, checkComplete, checkExplained, checkMembership, checkOnce, checkRepair } from './promises.js'
import type { MemberLoss, PromiseCheck, SentChat } from './promises.js'

const CHATS_PER_TEAM = 12
const MAX_TOKENS = 200
const POLL_MS = 50
const REPAIR_TIMEOUT_MS = 25_000
const STREAMING_TIMEOUT_MS = 10_000
const ONCE_SENDS = 2
/** Share of the answers that must be streaming before the VM is killed. */
const STREAMING_SHARE = 0.5
const KILL_DELAY_MS = 300
const NO_REPORT: CommandReport = { exitCode: ExitCode.Failed, done: false, output: '', errors: '' }

interface LostMember extends MemberLoss {
  readonly vm: string
}

interface Repair {
  readonly loss: LostMember
  readonly repaired: boolean
  readonly repairMs: number
  readonly detail: string
  /** Output of `dotterelctl explain` for the group, from before it served again. */
  readonly explanation: CommandReport
}

/** The steps of the full demo: streamed answers, the loss of a VM, the repair, a non-idempotent call, and a check of each promise. */
export class Scenario {
  private readonly clock = new SystemClock()

  constructor (private readonly cluster: Cluster, private readonly narrator: Narrator) {}

  async run (): Promise<readonly PromiseCheck[]> {
    const callers = await this.callers()
    const onceKey = `loan-${this.clock.wallMs()}`
    const chats = callers.flatMap((caller) => this.startChats(caller))
    const loss = await this.killUnderStreams()
    const repairing = this.watchRepair(loss)
    const [answered, once] = await Promise.all([Promise.all(chats), this.callTwice(callers.at(-1)!, onceKey)])
    this.showAnswers(answered, loss)
    this.narrator.say(`the non-idempotent call was sent twice with one key: ${once.map((answer) => answer.status).join(', ')}`)
    const repair = await repairing
    const explained = await this.explain(repair)
    return [...this.checkPromises(answered, repair, onceKey), explained]
  }

  private async callers (): Promise<Caller[]> {
    const entry = this.cluster.nodes[0]!.entry
    const callers = this.cluster.layout.teams.map((team) => new Caller(team, entry))
    for (const caller of callers) {
      const entries = await caller.askDirectory()
      this.narrator.say(`${caller.team.team} received ${entries.length} addresses from the directory`)
    }
    return callers
  }

  private startChats (caller: Caller): Array<Promise<SentChat>> {
    this.narrator.say(`${caller.team.team} sends ${CHATS_PER_TEAM} chat requests for ${caller.team.models[0]}`)
    return Array.from({ length: CHATS_PER_TEAM }, async (_, index) => {
      const marker = `${caller.team.team}-${index}`
      return { marker, answer: await caller.chat(`${marker}: say it in a few lines`, MAX_TOKENS) }
    })
  }

  /** Kills a member of the group with the most running streams. */
  private async killUnderStreams (): Promise<LostMember> {
    const victim = await this.busiestGroup()
    const member = this.cluster.endpoints.views().filter((view) => view.group === victim.group).at(-1)!
    const atWallMs = this.clock.wallMs()
    await this.cluster.endpoints.fault(member.vm, { kind: VmFaultKind.Kill })
    this.narrator.say(`killed ${member.vm}, a member of ${victim.group}, while ${victim.streams} answers streamed from that group`)
    return { group: victim.group, formation: victim.formation, atWallMs, vm: member.vm }
  }

  private async busiestGroup (): Promise<{ readonly group: string, readonly formation: number, readonly streams: number }> {
    const deadlineMs = this.clock.nowMs() + STREAMING_TIMEOUT_MS
    const streaming = CHATS_PER_TEAM * this.cluster.layout.teams.length * STREAMING_SHARE
    while (this.runningRows().length < streaming && this.clock.nowMs() < deadlineMs) await sleep(this.clock, POLL_MS)
    await sleep(this.clock, KILL_DELAY_MS)
    const running = this.runningRows()
    const counts = new Map<string, LedgerRow[]>()
    for (const row of running) counts.set(row.group!, [...counts.get(row.group!) ?? [], row])
    const busiest = [...counts.values()].sort((left, right) => right.length - left.length)[0]
    if (busiest === undefined) throw new Error('no answer streams: no group took a request')
    return { group: busiest[0]!.group!, formation: busiest[0]!.formation, streams: busiest.length }
  }

  private runningRows (): LedgerRow[] {
    return this.cluster.endpoints.ledger.rows().filter((row) => row.end === RunEnd.Running && row.group !== null)
  }

  private async callTwice (caller: Caller, key: string): Promise<ServiceAnswer[]> {
    const service = this.cluster.layout.services.find((plan) => plan.team === caller.team.team)!
    const answers: ServiceAnswer[] = []
    for (let sent = 0; sent < ONCE_SENDS; sent++) answers.push(await caller.callOnce(service.oncePath, key, '{"loan":"two copies cost twice"}'))
    return answers
  }

  private showAnswers (chats: readonly SentChat[], loss: MemberLoss): void {
    const again = chats.filter(({ answer }) => this.runsOf(answer.requestId).length > 1)
    const whole = chats.filter(({ answer }) => answer.whole).length
    this.narrator.say(`${whole} of ${chats.length} answers arrived whole; ${again.length} of them went on elsewhere when ${loss.group} lost its VM`)
    for (const { marker, answer } of chats.filter((chat) => !chat.answer.whole)) this.narrator.say(`${marker}: status ${answer.status}, ${answer.error ?? 'the stream ended early'}`)
    const example = again[0] ?? chats[0]!
    this.narrator.quote(`${example.marker}, run at ${this.runsOf(example.answer.requestId).map((row) => `${row.group} (${row.end})`).join(', then ')}`, example.answer.text)
  }

  private runsOf (requestId: string): LedgerRow[] {
    return this.cluster.endpoints.ledger.rows().filter((row) => row.requestId === requestId)
  }

  /** Polls until all nodes report that they may dispatch to all groups again. */
  private async watchRepair (loss: LostMember): Promise<Repair> {
    const declared = this.cluster.layout.teams.reduce((sum, team) => sum + team.replicas, 0)
    const deadlineMs = this.clock.nowMs() + REPAIR_TIMEOUT_MS
    const explanations: CommandReport[] = []
    let repaired = false
    while (!repaired && this.clock.nowMs() < deadlineMs) {
      explanations.push(await this.cluster.operator.run(['explain', 'group', loss.group]))
      const serving = await Promise.all(this.cluster.nodes.map((node) => this.cluster.operator.servingGroups(node.admin)))
      repaired = this.assignedGroup(loss.group)?.formation !== loss.formation && serving.every((count) => count >= declared)
      if (!repaired) await sleep(this.clock, POLL_MS)
    }
    const repairMs = this.clock.wallMs() - loss.atWallMs
    const members = this.membersOf(loss.group)
    const detail = members.length === 0 ? `${loss.group} was dissolved` : `${loss.group} is ${members.join(' and ')}`
    const explanation = explanations.find((report) => report.output.includes(loss.vm)) ?? explanations.at(-1) ?? NO_REPORT
    return { loss, repaired, repairMs, detail, explanation }
  }

  private assignedGroup (group: string): AssignedGroup | undefined {
    return this.assignments().flatMap((assignment) => assignment.groups).find((line) => line.group === group)
  }

  private membersOf (group: string): string[] {
    return this.assignedGroup(group)?.members.map((member) => member.vm) ?? []
  }

  /** Checks that the system explains the loss and the replacement of the VM. */
  private async explain ({ loss, explanation, repaired, repairMs, detail }: Repair): Promise<PromiseCheck> {
    this.narrator.command(`dotterelctl explain group ${loss.group}     (asked from the loss on)`, explanation.output + explanation.errors)
    this.narrator.say(`${repaired ? `repaired ${(repairMs / 1_000).toFixed(1)} s after the loss` : 'not repaired'}: ${detail}`)
    const joined = this.membersOf(loss.group).at(-1) ?? loss.vm
    const ofVm = await this.cluster.operator.run(['explain', 'vm', joined])
    this.narrator.command(`dotterelctl explain vm ${joined}`, ofVm.output + ofVm.errors)
    const audit = await this.cluster.operator.run(['audit'])
    const records = recordsOf(audit.output, loss.group)
    this.narrator.command('dotterelctl audit', records)
    return checkExplained({ group: loss.group, lost: loss.vm, joined }, { ofGroup: explanation.output, ofJoined: ofVm.output, records })
  }

  private checkPromises (chats: readonly SentChat[], repair: Repair, onceKey: string): PromiseCheck[] {
    const { ledger, answers } = this.cluster.endpoints
    return [
      checkAnswers(chats, answers),
      checkOnce(ledger.rows(), onceKey, ONCE_SENDS),
      checkComplete(ledger.rows(), [repair.loss], DEFAULT_EVIDENCE_TTL_MS),
      checkMembership(this.assignments()),
      checkRepair(repair.repaired, repair.repairMs, repair.detail)
    ]
  }

  private assignments (): AssignmentObject[] {
    return this.cluster.platform.objects.list(ASSIGNMENT_PREFIX).objects.map((object) => object.body as AssignmentObject)
  }
}

/** The audit records of a subject, each with its indented lines. */
function recordsOf (audit: string, subject: string): string {
  let shown = false
  return audit.split('\n').filter((line) => {
    if (!line.startsWith(' ')) shown = line.includes(` ${subject} `)
    return shown
  }).join('\n')
}
